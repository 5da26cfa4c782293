package scale

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Usage is what a process has used, as the system tells it from outside.
type Usage struct {
	CPUSeconds float64 // since its start, user and system
	RSSBytes   uint64
	PeakBytes  uint64 // the largest RSS so far
	Read       uint64 // bytes that it read and wrote, nearly all of them at sockets
	Written    uint64
	ReadCalls  uint64
	WriteCalls uint64
	Sockets    int
}

// ticksPerSecond is the unit of processor times in /proc on Linux.
const ticksPerSecond = 100

// Fields of /proc/PID/stat behind the name, from 0.
const (
	statUser   = 11
	statSystem = 12
)

// usageOf reads a process's usage.
func usageOf(pid int) (u Usage, err error) {
	dir := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= statSystem {
		return u, fmt.Errorf("%sstat has %d fields", dir, len(fields))
	}
	for _, f := range []string{fields[statUser], fields[statSystem]} {
		ticks, _ := strconv.ParseFloat(f, 64)
		u.CPUSeconds += ticks / ticksPerSecond
	}
	status, err := readFields(dir + "status")
	if err != nil {
		return u, err
	}
	u.RSSBytes, u.PeakBytes = status["VmRSS"]<<10, status["VmHWM"]<<10
	io, err := readFields(dir + "io")
	if err != nil {
		return u, err
	}
	u.Read, u.Written, u.ReadCalls, u.WriteCalls = io["rchar"], io["wchar"], io["syscr"], io["syscw"]
	u.Sockets = socketsOf(dir)
	return u, nil
}

// socketsOf counts a process's open sockets.
func socketsOf(dir string) (n int) {
	fds, _ := os.ReadDir(dir + "fd")
	for _, f := range fds {
		if to, err := os.Readlink(dir + "fd/" + f.Name()); err == nil && strings.HasPrefix(to, "socket:") {
			n++
		}
	}
	return n
}

// readFields reads a file of lines "name: number ...".
func readFields(path string) (map[string]uint64, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	out := map[string]uint64{}
	for line := range strings.Lines(string(raw)) {
		name, rest, ok := strings.Cut(line, ":")
		if first := strings.Fields(rest); ok && len(first) > 0 {
			if n, err := strconv.ParseUint(first[0], 10, 64); err == nil {
				out[name] = n
			}
		}
	}
	return out, nil
}

// TotalMemory is the machine's memory in bytes.
func TotalMemory() (uint64, error) {
	m, err := readFields("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	return m["MemTotal"] << 10, nil
}

// parseMetrics reads the figures of a controller's /metrics page that carry no labels.
func parseMetrics(page []byte) map[string]float64 {
	out := map[string]float64{}
	for line := range strings.Lines(string(page)) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		if !ok || strings.HasPrefix(name, "#") || strings.Contains(name, "{") {
			continue
		}
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			out[name] = v
		}
	}
	return out
}

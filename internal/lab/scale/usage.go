package scale

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Usage is what a process has used, as the operating system counts it.
type Usage struct {
	CPUSeconds float64 // since its start, user and system
	RSSBytes   uint64
	PeakBytes  uint64 // the largest RSS so far
	Read       uint64 // bytes, nearly all of them from sockets
	Written    uint64 // bytes, nearly all of them to sockets
	ReadCalls  uint64
	WriteCalls uint64
	Sockets    int
}

// ticksPerSecond is the unit of processor times in /proc on Linux.
const ticksPerSecond = 100

const bytesPerKB = 1024

// Fields of /proc/PID/stat behind the name, from 0.
const (
	statUser   = 11
	statSystem = 12
)

// usageOf reads the usage of a running process.
func usageOf(pid int) (Usage, error) {
	dir := fmt.Sprintf("/proc/%d/", pid)
	cpuSeconds, err := cpuSecondsOf(dir)
	if err != nil {
		return Usage{}, err
	}
	status, err := readFields(dir + "status")
	if err != nil {
		return Usage{}, err
	}
	io, err := readFields(dir + "io")
	if err != nil {
		return Usage{}, err
	}
	return Usage{
		CPUSeconds: cpuSeconds,
		RSSBytes:   status["VmRSS"] * bytesPerKB,
		PeakBytes:  status["VmHWM"] * bytesPerKB,
		Read:       io["rchar"],
		Written:    io["wchar"],
		ReadCalls:  io["syscr"],
		WriteCalls: io["syscw"],
		Sockets:    socketsOf(dir),
	}, nil
}

// statError is a stat file of a process with too few fields for its processor time.
type statError struct {
	path   string
	fields int // behind the name
}

// Error names the file, and how many fields it has.
func (e *statError) Error() string { return fmt.Sprintf("%s has %d fields", e.path, e.fields) }

func cpuSecondsOf(dir string) (float64, error) {
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return 0, err
	}
	// The name in parentheses may hold anything.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= statSystem {
		return 0, &statError{path: dir + "stat", fields: len(fields)}
	}
	seconds := 0.0
	for _, field := range []string{fields[statUser], fields[statSystem]} {
		ticks, err := strconv.ParseFloat(field, 64)
		if err != nil {
			return 0, fmt.Errorf("%sstat: %w", dir, err)
		}
		seconds += ticks / ticksPerSecond
	}
	return seconds, nil
}

// socketsOf counts a process's open sockets. Those that are closed meanwhile don't count.
func socketsOf(dir string) int {
	descriptors, _ := os.ReadDir(dir + "fd")
	count := 0
	for _, descriptor := range descriptors {
		target, err := os.Readlink(dir + "fd/" + descriptor.Name())
		if err == nil && strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count
}

// readFields reads a file of lines "name: number ..."; other lines are left out.
func readFields(path string) (map[string]uint64, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	values := map[string]uint64{}
	for line := range strings.Lines(string(raw)) {
		name, rest, _ := strings.Cut(line, ":")
		words := strings.Fields(rest)
		if len(words) == 0 {
			continue
		}
		if value, err := strconv.ParseUint(words[0], 10, 64); err == nil {
			values[name] = value
		}
	}
	return values, nil
}

// TotalMemory returns the memory of this machine in bytes.
func TotalMemory() (uint64, error) {
	memory, err := readFields("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	return memory["MemTotal"] * bytesPerKB, nil
}

// parseMetrics reads the metrics without labels of a controller's /metrics page.
func parseMetrics(page []byte) map[string]float64 {
	values := map[string]float64{}
	for line := range strings.Lines(string(page)) {
		name, text, ok := strings.Cut(strings.TrimSpace(line), " ")
		if !ok || strings.HasPrefix(name, "#") || strings.Contains(name, "{") {
			continue
		}
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			values[name] = value
		}
	}
	return values
}

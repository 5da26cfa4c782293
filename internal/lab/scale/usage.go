package scale

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Usage is the resource use of a process, as counted by the operating system.
type Usage struct {
	CPUSeconds float64 // user and system time since the process started
	RSSBytes   uint64
	PeakBytes  uint64 // the largest RSS so far
	Read       uint64 // bytes, nearly all of them from sockets
	Written    uint64 // bytes, nearly all of them to sockets
	ReadCalls  uint64
	WriteCalls uint64
	Sockets    int
}

// ticksPerSecond is the number of clock ticks per second in the processor times in /proc on Linux.
const ticksPerSecond = 100

const bytesPerKB = 1024

// Indices of the fields of /proc/PID/stat after the process name, from 0.
const (
	statUserTicks   = 11
	statSystemTicks = 12
)

// usageOf reads the usage of a running process.
func usageOf(pid int) (Usage, error) {
	dir := fmt.Sprintf("/proc/%d/", pid)
	cpuSeconds, err := cpuSecondsOf(dir)
	if err != nil {
		return Usage{}, err
	}
	status, err := readNumbers(dir + "status")
	if err != nil {
		return Usage{}, err
	}
	io, err := readNumbers(dir + "io")
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

// statError reports a /proc/PID/stat file with too few fields to contain the processor times.
type statError struct {
	path   string
	fields int // number of fields after the process name
}

// Error names the file and the number of its fields.
func (e *statError) Error() string {
	return fmt.Sprintf("%s has only %d fields after the process name", e.path, e.fields)
}

// cpuSecondsOf returns the user and system time of the process with the /proc directory.
func cpuSecondsOf(dir string) (float64, error) {
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return 0, err
	}
	// The process name in parentheses may contain spaces and parentheses, so the fields begin after the last one.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= statSystemTicks {
		return 0, &statError{path: dir + "stat", fields: len(fields)}
	}
	seconds := 0.0
	for _, field := range []string{fields[statUserTicks], fields[statSystemTicks]} {
		ticks, err := strconv.ParseFloat(field, 64)
		if err != nil {
			return 0, fmt.Errorf("%sstat: %w", dir, err)
		}
		seconds += ticks / ticksPerSecond
	}
	return seconds, nil
}

// socketsOf returns the number of open sockets of a process. Sockets that are closed while it counts are left out.
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

// readNumbers returns the numbers of a file with lines "name: number ...", by name. It skips other lines.
func readNumbers(path string) (map[string]uint64, error) {
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

// TotalMemory returns the total memory of this machine in bytes.
func TotalMemory() (uint64, error) {
	memory, err := readNumbers("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	return memory["MemTotal"] * bytesPerKB, nil
}

// parseMetrics returns the metrics without labels on a controller's /metrics page, by name.
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

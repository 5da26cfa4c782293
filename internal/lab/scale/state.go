package scale

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/simulator"
)

// StateCommand is the hidden subcommand of `harewalk lab` that runs the state service of a scale run.
const StateCommand = "state-service"

// stateSettings is the JSON document in the first line that the state service's process reads.
type stateSettings struct {
	Controllers int          `json:"controllers"`
	Limits      config.State `json:"limits"`
}

// stateReady is the JSON document in the first line that the state service's process writes.
type stateReady struct {
	Addresses []string `json:"addrs"`
}

// StateStats is the JSON document that the state service's process writes for each further line that it reads.
type StateStats struct {
	Requests int `json:"requests"`
	Writes   int `json:"writes"`
	Refused  int `json:"refused"`
	Keys     int `json:"keys"`
	Watched  int `json:"followed"` // keys that every controller watches
}

// watchedPrefix is the prefix of the keys that every controller watches.
const watchedPrefix = "h/"

// statsRequest is the line that requests statistics. The state service doesn't check its content.
const statsRequest = "figures"

// ServeState runs a state service. It reads a line of settings, writes a line with its addresses, and then writes a
// line of statistics for every line that it reads. It returns when the input ends.
func ServeState(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	encoder := json.NewEncoder(out)
	if !lines.Scan() {
		return fmt.Errorf("reading settings: %w", cmp.Or(lines.Err(), io.ErrUnexpectedEOF))
	}
	var settings stateSettings
	if err := json.Unmarshal(lines.Bytes(), &settings); err != nil {
		return fmt.Errorf("parsing settings: %w", err)
	}
	sim, err := simulator.NewRealTime(simulator.Config{Controllers: settings.Controllers, State: settings.Limits})
	if err != nil {
		return err
	}
	defer sim.Close()
	var ready stateReady
	for i := range settings.Controllers {
		ready.Addresses = append(ready.Addresses, sim.StateAddr(i))
	}
	if err := encoder.Encode(ready); err != nil {
		return err
	}
	for lines.Scan() {
		if err := encoder.Encode(stateStatsOf(sim)); err != nil {
			return err
		}
	}
	return lines.Err()
}

func stateStatsOf(sim *simulator.Simulation) StateStats {
	stats := sim.Stats()
	return StateStats{
		Requests: stats.StateRequests,
		Writes:   stats.StateWrites,
		Refused:  stats.StateRefused,
		Keys:     sim.CountKeys(""),
		Watched:  sim.CountKeys(watchedPrefix),
	}
}

// stateProcess is a state service that runs in a separate process.
type stateProcess struct {
	cmd       *exec.Cmd
	stdin     io.WriteCloser
	stdout    *bufio.Scanner
	addresses []string
}

// startState starts a state service in a separate process and waits for its addresses. The caller must call close on
// the returned process.
func startState(options Options, settings stateSettings) (*stateProcess, error) {
	args := append(append([]string{}, options.Program[1:]...), "lab", StateCommand)
	cmd := exec.Command(options.Program[0], args...)
	cmd.Env = append(os.Environ(), options.Env...)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the child must not outlive this process
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	process := &stateProcess{cmd: cmd, stdin: stdin, stdout: bufio.NewScanner(stdout)}
	var ready stateReady
	if err := process.request(settings, &ready); err != nil {
		process.close()
		return nil, fmt.Errorf("starting the state service: %w", err)
	}
	process.addresses = ready.Addresses
	return process, nil
}

// request writes a line to the process and parses the line that the process responds with.
func (p *stateProcess) request(line, response any) error {
	if err := json.NewEncoder(p.stdin).Encode(line); err != nil {
		return err
	}
	if !p.stdout.Scan() {
		return fmt.Errorf("no response from the state service: %w", cmp.Or(p.stdout.Err(), io.ErrUnexpectedEOF))
	}
	return json.Unmarshal(p.stdout.Bytes(), response)
}

func (p *stateProcess) stats() (StateStats, error) {
	var stats StateStats
	err := p.request(statsRequest, &stats)
	return stats, err
}

// close kills the process and waits until it has exited.
func (p *stateProcess) close() {
	_ = p.stdin.Close()
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

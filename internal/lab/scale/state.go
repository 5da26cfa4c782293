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

// StateCommand is the hidden command of `harewalk lab` that runs the state service of a scale run.
const StateCommand = "state-service"

// stateSettings are the first line that the state service's process reads.
type stateSettings struct {
	Controllers int          `json:"controllers"`
	Limits      config.State `json:"limits"`
}

// stateReady is the first line that it writes.
type stateReady struct {
	Addresses []string `json:"addrs"`
}

// StateStats is what it writes for each further line that it reads.
type StateStats struct {
	Requests int `json:"requests"`
	Writes   int `json:"writes"`
	Refused  int `json:"refused"`
	Keys     int `json:"keys"`
	Followed int `json:"followed"` // keys that every controller follows
}

// followedPrefix is the prefix of the keys that every controller follows.
const followedPrefix = "h/"

// statsRequest is the line that asks for statistics; any line would.
const statsRequest = "figures"

// ServeState runs a state service: it reads its settings, writes its addresses, and then writes statistics for every
// line that it reads. It returns when its input ends.
func ServeState(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	encoder := json.NewEncoder(out)
	if !lines.Scan() {
		return fmt.Errorf("no order came: %w", cmp.Or(lines.Err(), io.ErrUnexpectedEOF))
	}
	var settings stateSettings
	if err := json.Unmarshal(lines.Bytes(), &settings); err != nil {
		return fmt.Errorf("not an order: %w", err)
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
		Followed: sim.CountKeys(followedPrefix),
	}
}

// stateProcess is a state service in a process of its own.
type stateProcess struct {
	cmd       *exec.Cmd
	stdin     io.WriteCloser
	stdout    *bufio.Scanner
	addresses []string
}

// startState starts a state service's process, which close ends, and waits for its addresses.
func startState(options Options, settings stateSettings) (*stateProcess, error) {
	args := append(append([]string{}, options.Program[1:]...), "lab", StateCommand)
	cmd := exec.Command(options.Program[0], args...)
	cmd.Env = append(os.Environ(), options.Env...)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive this process
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
		return nil, fmt.Errorf("the state service's process: %w", err)
	}
	process.addresses = ready.Addresses
	return process, nil
}

// request writes a line and reads the one that responds to it.
func (p *stateProcess) request(line, response any) error {
	if err := json.NewEncoder(p.stdin).Encode(line); err != nil {
		return err
	}
	if !p.stdout.Scan() {
		return fmt.Errorf("no answer: %w", cmp.Or(p.stdout.Err(), io.ErrUnexpectedEOF))
	}
	return json.Unmarshal(p.stdout.Bytes(), response)
}

func (p *stateProcess) stats() (StateStats, error) {
	var stats StateStats
	err := p.request(statsRequest, &stats)
	return stats, err
}

// close ends the process and waits for its end.
func (p *stateProcess) close() {
	_ = p.stdin.Close()
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

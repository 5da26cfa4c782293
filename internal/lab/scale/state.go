package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/simulator"
)

// StateCommand is the hidden argument of `harewalk lab` that plays a state service.
const StateCommand = "state-service"

// stateOrder is the first line that a state service's process is given.
type stateOrder struct {
	Controllers int          `json:"controllers"`
	Limits      config.State `json:"limits"`
}

// stateReady is the first line that it says.
type stateReady struct {
	Addrs []string `json:"addrs"`
}

// StateFigures is what it says to each further line.
type StateFigures struct {
	Requests int `json:"requests"`
	Writes   int `json:"writes"`
	Refused  int `json:"refused"`
	Keys     int `json:"keys"`
	Followed int `json:"followed"` // keys that every controller follows
}

// followedPrefix is the prefix of the keys that every controller follows.
const followedPrefix = "h/"

// PlayState is the process of a state service: an order comes in, addresses go out, then figures for every line that
// comes in. It ends when its input does.
func PlayState(in io.Reader, out io.Writer) error {
	lines, say := bufio.NewScanner(in), json.NewEncoder(out)
	if !lines.Scan() {
		return fmt.Errorf("no order came: %w", lines.Err())
	}
	var o stateOrder
	if err := json.Unmarshal(lines.Bytes(), &o); err != nil {
		return fmt.Errorf("not an order: %w", err)
	}
	sim, err := simulator.NewRealTime(simulator.Config{Controllers: o.Controllers, State: o.Limits})
	if err != nil {
		return err
	}
	defer sim.Close()
	var ready stateReady
	for i := range o.Controllers {
		ready.Addrs = append(ready.Addrs, sim.StateAddr(i))
	}
	if err := say.Encode(ready); err != nil {
		return err
	}
	for lines.Scan() {
		s := sim.Stats()
		f := StateFigures{Requests: s.StateRequests, Writes: s.StateWrites, Refused: s.StateRefused, Keys: sim.CountKeys(""), Followed: sim.CountKeys(followedPrefix)}
		if err := say.Encode(f); err != nil {
			return err
		}
	}
	return lines.Err()
}

// stateProcess is a state service in a process of its own.
type stateProcess struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	lines *bufio.Scanner
	addrs []string
}

// startState starts one.
func startState(program []string, env []string, o stateOrder) (*stateProcess, error) {
	p := &stateProcess{cmd: exec.Command(program[0], append(append([]string{}, program[1:]...), "lab", StateCommand)...)}
	p.cmd.Env, p.cmd.Stderr = append(os.Environ(), env...), os.Stderr
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive whoever measures
	in, err := p.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	p.in, p.lines = in, bufio.NewScanner(out)
	var ready stateReady
	if err := p.ask(o, &ready); err != nil {
		p.close()
		return nil, fmt.Errorf("the state service's process: %w", err)
	}
	p.addrs = ready.Addrs
	return p, nil
}

// ask sends a line and reads the one that answers it.
func (p *stateProcess) ask(line, answer any) error {
	if err := json.NewEncoder(p.in).Encode(line); err != nil {
		return err
	}
	if !p.lines.Scan() {
		return fmt.Errorf("no answer: %w", io.ErrUnexpectedEOF)
	}
	return json.Unmarshal(p.lines.Bytes(), answer)
}

// figures asks for its figures.
func (p *stateProcess) figures() (f StateFigures, err error) {
	err = p.ask("figures", &f)
	return f, err
}

// close ends the process.
func (p *stateProcess) close() {
	_ = p.in.Close()
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

package simulator

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// Cluster is the world's controllers as processes of the operating system.
type Cluster struct {
	simulation *Simulation
	dir        string
	programs   []program // by controller
	mu         sync.Mutex
	processes  []*exec.Cmd

	hasOperatorSettings bool // there are operators' settings
	// TLSAddrs are free addresses, one for each controller: {tls} in its operators' settings; Debug likewise: {debug}.
	TLSAddrs, DebugAddrs []string
	// Killed counts the controllers that were killed.
	Killed int
}

// program is what a controller runs.
type program struct{ argv, env []string }

// NewCluster prepares the controllers: each is argv with its settings file behind "--config", and env
// beside the environment. Files stand under dir; operator is the operators' HCL, "" for none.
func (w *Simulation) NewCluster(dir, operator string, env []string, argv ...string) (*Cluster, error) {
	cluster := &Cluster{simulation: w, dir: dir, processes: make([]*exec.Cmd, w.cfg.Controllers), programs: make([]program, w.cfg.Controllers)}
	cluster.hasOperatorSettings = operator != ""
	for i := range cluster.processes {
		cluster.SetProgram(i, env, argv...)
		for _, addrs := range []*[]string{&cluster.TLSAddrs, &cluster.DebugAddrs} {
			addr, err := freePort()
			if err != nil {
				return nil, err
			}
			*addrs = append(*addrs, addr)
		}
		own := strings.NewReplacer("{tls}", cluster.TLSAddrs[i], "{debug}", cluster.DebugAddrs[i]).Replace(operator)
		if err := os.WriteFile(cluster.operatorFile(i), []byte(own), 0o600); err != nil {
			return nil, err
		}
		if err := os.WriteFile(cluster.settingsFile(i), w.SettingsJSON(i), 0o600); err != nil {
			return nil, err
		}
	}
	return cluster, nil
}

// SetProgram gives a controller another program, another build perhaps, from its next start on.
func (c *Cluster) SetProgram(i int, env []string, argv ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.programs[i] = program{argv, append(os.Environ(), env...)}
}

// operatorFile is a controller's file of operators' settings.
func (c *Cluster) operatorFile(i int) string {
	return filepath.Join(c.dir, fmt.Sprintf("operator-%d.hcl", i))
}

func (c *Cluster) settingsFile(i int) string {
	return filepath.Join(c.dir, fmt.Sprintf("node-%d.json", i))
}

// LogFile is where a controller's output goes.
func (c *Cluster) LogFile(i int) string { return filepath.Join(c.dir, fmt.Sprintf("node-%d.log", i)) }

// Start starts a controller that does not run.
func (c *Cluster) Start(i int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.processes[i] != nil {
		return nil
	}
	log, err := os.OpenFile(c.LogFile(i), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	prog := c.programs[i]
	args := append(append([]string{}, prog.argv[1:]...), "--config", c.settingsFile(i))
	if c.hasOperatorSettings {
		args = append(args, "--operator", c.operatorFile(i))
	}
	p := exec.Command(prog.argv[0], args...)
	p.Env, p.Stderr, p.Stdout = prog.env, log, log
	// A controller must not outlive whoever plays its world.
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	_ = log.Close()
	c.processes[i] = p
	return nil
}

// Kill ends a controller without notice.
func (c *Cluster) Kill(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.processes[i]; p != nil {
		_ = p.Process.Kill()
		_ = p.Wait()
		c.processes[i] = nil
		c.Killed++
	}
}

// PID is the number of a controller's process, 0: it has none.
func (c *Cluster) PID(i int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.processes[i] == nil {
		return 0
	}
	return c.processes[i].Process.Pid
}

// Running tells whether a controller has a process.
func (c *Cluster) Running(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[i] != nil
}

// Signal sends a controller's process a signal and, if wait is not 0, waits so long for its
// end; it returns the exit code, -1 if it still runs or was killed.
func (c *Cluster) Signal(i int, s syscall.Signal, wait time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.processes[i]
	if p == nil {
		return -1
	}
	_ = p.Process.Signal(s)
	if wait == 0 {
		return -1
	}
	end := make(chan struct{})
	go func() { _ = p.Wait(); close(end) }()
	select {
	case <-end:
		c.processes[i] = nil
		return p.ProcessState.ExitCode()
	case <-time.After(wait):
		return -1
	}
}

// Close kills all controllers.
func (c *Cluster) Close() {
	for i := range c.processes {
		c.Kill(i)
	}
}

// WaitReady waits until a controller says that it can take requests.
func (c *Cluster) WaitReady(i int, wait time.Duration) error {
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if status, _, err := fasthttp.GetTimeout(nil, "http://"+c.simulation.UserAddr(i)+"/up", time.Second); err == nil && status == 200 {
			return nil
		}
	}
	tail, _ := os.ReadFile(c.LogFile(i))
	return fmt.Errorf("controller %d is not ready after %v; its log ends with: %s", i, wait, tail[max(0, len(tail)-2000):])
}

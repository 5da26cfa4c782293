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
	w     *World
	dir   string
	progs []program // by controller
	mu    sync.Mutex
	proc  []*exec.Cmd

	operator bool // there are operators' settings
	// Secure are free addresses, one for each controller: {tls} in its operators' settings; Debug likewise: {debug}.
	Secure, Debug []string
	// Kills counts the controllers that were killed.
	Kills int
}

// program is what a controller runs.
type program struct{ argv, env []string }

// Run prepares the controllers: each is argv with its settings file behind "--config", and env
// beside the environment. Files stand under dir; operator is the operators' HCL, "" for none.
func (w *World) Run(dir, operator string, env []string, argv ...string) (*Cluster, error) {
	c := &Cluster{w: w, dir: dir, proc: make([]*exec.Cmd, w.cfg.Controllers), progs: make([]program, w.cfg.Controllers)}
	c.operator = operator != ""
	for i := range c.proc {
		c.Program(i, env, argv...)
		for _, addrs := range []*[]string{&c.Secure, &c.Debug} {
			addr, err := freePort()
			if err != nil {
				return nil, err
			}
			*addrs = append(*addrs, addr)
		}
		own := strings.NewReplacer("{tls}", c.Secure[i], "{debug}", c.Debug[i]).Replace(operator)
		if err := os.WriteFile(c.own(i), []byte(own), 0o600); err != nil {
			return nil, err
		}
		if err := os.WriteFile(c.settings(i), w.Settings(i), 0o600); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// Program gives a controller another program, another build perhaps, from its next start on.
func (c *Cluster) Program(i int, env []string, argv ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progs[i] = program{argv, append(os.Environ(), env...)}
}

// own is a controller's file of operators' settings.
func (c *Cluster) own(i int) string { return filepath.Join(c.dir, fmt.Sprintf("operator-%d.hcl", i)) }

func (c *Cluster) settings(i int) string { return filepath.Join(c.dir, fmt.Sprintf("node-%d.json", i)) }

// Log is where a controller's output goes.
func (c *Cluster) Log(i int) string { return filepath.Join(c.dir, fmt.Sprintf("node-%d.log", i)) }

// Start starts a controller that does not run.
func (c *Cluster) Start(i int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.proc[i] != nil {
		return nil
	}
	log, err := os.OpenFile(c.Log(i), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	prog := c.progs[i]
	args := append(append([]string{}, prog.argv[1:]...), "--config", c.settings(i))
	if c.operator {
		args = append(args, "--operator", c.own(i))
	}
	p := exec.Command(prog.argv[0], args...)
	p.Env, p.Stderr, p.Stdout = prog.env, log, log
	// A controller must not outlive whoever plays its world.
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	_ = log.Close()
	c.proc[i] = p
	return nil
}

// Kill ends a controller without notice.
func (c *Cluster) Kill(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.proc[i]; p != nil {
		_ = p.Process.Kill()
		_ = p.Wait()
		c.proc[i] = nil
		c.Kills++
	}
}

// PID is the number of a controller's process, 0: it has none.
func (c *Cluster) PID(i int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.proc[i] == nil {
		return 0
	}
	return c.proc[i].Process.Pid
}

// Runs tells whether a controller has a process.
func (c *Cluster) Runs(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proc[i] != nil
}

// Signal sends a controller's process a signal and, if wait is not 0, waits so long for its
// end; it returns the exit code, -1 if it still runs or was killed.
func (c *Cluster) Signal(i int, s syscall.Signal, wait time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.proc[i]
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
		c.proc[i] = nil
		return p.ProcessState.ExitCode()
	case <-time.After(wait):
		return -1
	}
}

// Close kills all controllers.
func (c *Cluster) Close() {
	for i := range c.proc {
		c.Kill(i)
	}
}

// Ready waits until a controller says that it can take requests.
func (c *Cluster) Ready(i int, wait time.Duration) error {
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if status, _, err := fasthttp.GetTimeout(nil, "http://"+c.w.Public(i)+"/up", time.Second); err == nil && status == 200 {
			return nil
		}
	}
	tail, _ := os.ReadFile(c.Log(i))
	return fmt.Errorf("controller %d is not ready after %v; its log ends with: %s", i, wait, tail[max(0, len(tail)-2000):])
}

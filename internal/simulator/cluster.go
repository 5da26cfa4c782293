package simulator

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	readyPoll    = 20 * time.Millisecond
	readyTimeout = time.Second // of one health check
	logTail      = 2000        // bytes of a log in an error
	filePerm     = 0o600
)

// Cluster is the controllers of a simulation in real time, as processes of the operating system. Its methods are
// safe for concurrent use.
type Cluster struct {
	simulation          *Simulation
	dir                 string
	hasOperatorSettings bool
	// TLSAddrs are free addresses, one for each controller, for {tls} in the operators' settings; DebugAddrs
	// likewise for {debug}.
	TLSAddrs, DebugAddrs []string
	ports                portAllocator // of TLSAddrs and DebugAddrs
	// Killed counts the controllers that were killed.
	Killed int

	mu        sync.Mutex // guards Killed and all that follows
	programs  []program  // by controller
	processes []*exec.Cmd
}

// program is what a controller executes.
type program struct{ argv, env []string }

// NewCluster prepares the controllers, without starting them: each executes argv with "--config" and its settings
// file, and with env beside the environment. The files are written to dir; operator is the operators' HCL, "" for
// none. The caller closes the cluster.
func (sim *Simulation) NewCluster(dir, operator string, env []string, argv ...string) (*Cluster, error) {
	c := &Cluster{
		simulation:          sim,
		dir:                 dir,
		hasOperatorSettings: operator != "",
		programs:            make([]program, sim.cfg.Controllers),
		processes:           make([]*exec.Cmd, sim.cfg.Controllers),
	}
	for i := range c.processes {
		c.SetProgram(i, env, argv...)
		if err := c.addAddrs(); err != nil {
			return nil, err
		}
		if err := c.writeSettings(i, operator); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// addAddrs finds the next controller's free addresses.
func (c *Cluster) addAddrs() error {
	for _, addrs := range []*[]string{&c.TLSAddrs, &c.DebugAddrs} {
		addr, err := c.ports.allocate()
		if err != nil {
			return err
		}
		*addrs = append(*addrs, addr)
	}
	return nil
}

func (c *Cluster) writeSettings(i int, operator string) error {
	addrs := strings.NewReplacer("{tls}", c.TLSAddrs[i], "{debug}", c.DebugAddrs[i])
	if err := os.WriteFile(c.operatorFile(i), []byte(addrs.Replace(operator)), filePerm); err != nil {
		return err
	}
	return os.WriteFile(c.settingsFile(i), c.simulation.SettingsJSON(i), filePerm)
}

// SetProgram changes what a controller executes, perhaps another build, from its next start on.
func (c *Cluster) SetProgram(i int, env []string, argv ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.programs[i] = program{argv, append(os.Environ(), env...)}
}

func (c *Cluster) operatorFile(i int) string {
	return filepath.Join(c.dir, fmt.Sprintf("operator-%d.hcl", i))
}

func (c *Cluster) settingsFile(i int) string {
	return filepath.Join(c.dir, fmt.Sprintf("node-%d.json", i))
}

// LogFile returns the file to which a controller's output is appended.
func (c *Cluster) LogFile(i int) string { return filepath.Join(c.dir, fmt.Sprintf("node-%d.log", i)) }

// Start starts a controller that doesn't run. Its process ends with this one.
func (c *Cluster) Start(i int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.processes[i] != nil {
		return nil
	}
	log, err := os.OpenFile(c.LogFile(i), os.O_CREATE|os.O_APPEND|os.O_WRONLY, filePerm)
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // nothing is written through this descriptor: the process has its own
	executed := c.programs[i]
	args := append([]string{}, executed.argv[1:]...)
	args = append(args, "--config", c.settingsFile(i))
	if c.hasOperatorSettings {
		args = append(args, "--operator", c.operatorFile(i))
	}
	process := exec.Command(executed.argv[0], args...)
	process.Env = executed.env
	process.Stdout = log
	process.Stderr = log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	c.processes[i] = process
	return nil
}

// Kill ends a controller's process, if it has one, without notice.
func (c *Cluster) Kill(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if process := c.processes[i]; process != nil {
		_ = process.Process.Kill()
		_ = process.Wait()
		c.processes[i] = nil
		c.Killed++
	}
}

// PID returns the id of a controller's process, 0 if it has none.
func (c *Cluster) PID(i int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.processes[i] == nil {
		return 0
	}
	return c.processes[i].Process.Pid
}

// Running reports whether a controller has a process.
func (c *Cluster) Running(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[i] != nil
}

// Signal sends a controller's process a signal and, if wait isn't 0, waits up to that long for its end. It returns
// the exit code, -1 if the process still runs, was killed, or doesn't exist.
func (c *Cluster) Signal(i int, signal syscall.Signal, wait time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	process := c.processes[i]
	if process == nil {
		return -1
	}
	_ = process.Process.Signal(signal)
	if wait == 0 {
		return -1
	}
	ended := make(chan struct{})
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		c.processes[i] = nil
		return process.ProcessState.ExitCode()
	case <-time.After(wait):
		return -1
	}
}

// Close kills all controllers.
func (c *Cluster) Close() {
	for i := range c.processes {
		c.Kill(i)
	}
	_ = c.ports.close() // the ports are free whatever a listener's close reports
}

// NotReadyError is returned for a controller whose health check didn't pass within a time limit.
type NotReadyError struct {
	Controller int
	Limit      time.Duration
	LogTail    string // the end of the controller's log
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("controller %d is not ready after %v; its log ends with: %s", e.Controller, e.Limit, e.LogTail)
}

// WaitReady waits until a controller's health check passes. After a time limit it returns a *NotReadyError.
func (c *Cluster) WaitReady(i int, limit time.Duration) error {
	healthCheck := "http://" + c.simulation.UserAddr(i) + "/up"
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(readyPoll) {
		status, _, err := fasthttp.GetTimeout(nil, healthCheck, readyTimeout)
		if err == nil && status == http.StatusOK {
			return nil
		}
	}
	log, _ := os.ReadFile(c.LogFile(i))
	tail := log[max(0, len(log)-logTail):]
	return &NotReadyError{Controller: i, Limit: limit, LogTail: string(tail)}
}

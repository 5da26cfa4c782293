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
	readyPoll    = 20 * time.Millisecond // time between two health checks of WaitReady
	readyTimeout = time.Second           // timeout of one health check
	logTail      = 2000                  // bytes of a controller's log in a NotReadyError
	filePerm     = 0o600
)

// Cluster runs the controllers of a real-time simulation as operating system processes. Its methods are safe for
// concurrent use.
type Cluster struct {
	simulation          *Simulation
	dir                 string
	hasOperatorSettings bool
	// TLSAddrs holds a free address for each controller, which replaces {tls} in the operators' settings. DebugAddrs
	// holds those that replace {debug}.
	TLSAddrs, DebugAddrs []string
	ports                portAllocator // allocates TLSAddrs and DebugAddrs
	// Killed counts the controllers that were killed.
	Killed int

	mu        sync.Mutex  // guards Killed and the fields below
	programs  []program   // by controller
	processes []*exec.Cmd // by controller; nil: not running
}

// program is the command line and environment of a controller's process.
type program struct{ argv, env []string }

// NewCluster prepares the controllers without starting them. Each executes argv with "--config" and its settings
// file, and with env added to the environment of this process. The settings files are written to dir. operator is the
// operators' settings as HCL, "" for none. The caller must close the cluster.
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

// addAddrs allocates the TLS and debug addresses of the next controller.
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

// SetProgram sets the program that a controller executes from its next start on, for example another build.
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

// Start starts a controller unless it is running. The operating system kills the controller when this process ends.
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
	defer log.Close() //nolint:errcheck // nothing is written through this descriptor: the process has a duplicate
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

// Kill kills a controller's process with SIGKILL, if it is running.
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

// PID returns the id of a controller's process, 0 if it isn't running.
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

// Signal sends a signal to a controller's process and waits up to the duration wait for the process to exit; 0 means
// no waiting. It returns the exit code, or -1 if the process is still running, was killed, or doesn't exist.
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
	_ = c.ports.close() // the ports are free even if closing a listener reports an error
}

// NotReadyError is returned for a controller whose health check didn't pass within the time limit.
type NotReadyError struct {
	Controller int
	Limit      time.Duration
	LogTail    string // the last bytes of the controller's log
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("controller %d is not ready after %v; its log ends with: %s", e.Controller, e.Limit, e.LogTail)
}

// WaitReady waits until a controller's health check passes. It returns a *NotReadyError after the time limit.
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

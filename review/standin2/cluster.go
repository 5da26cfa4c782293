package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// site is a small deployment.
type site struct {
	name        string
	zones       []string
	controllers int
	timing      timing
	state       stateLimits
	cloudRPS    float64
	listLagS    float64
	teams       []team
	types       []machineType
	capacity    map[offerKey]int
	cores       float64
	memMB       float64
	sockets     int
	operator    string // operators' settings, "" for none
	objectives  []objective
}

// objective is an aim that the settings state.
type objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
	Times   float64 `json:"times"`
}

// node is one controller process.
type node struct {
	name   string
	index  int
	public string
	back   string
	state  string
	config string
	cmd    *exec.Cmd
	ended  chan struct{}
}

// cluster is the controllers and all that they meet.
type cluster struct {
	site  site
	rec   *recorder
	dir   string
	world *world
	state *stateService
	cloud *cloud
	nodes []*node

	mu      sync.Mutex
	stopped bool
}

// freePorts returns free ports of the loopback address, below those that outgoing connections use.
func freePorts(n int) ([]string, error) {
	var addrs []string
	for port := 15000 + (os.Getpid()*37)%14000; len(addrs) < n && port < 32000; port++ {
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp4", addr)
		if err != nil {
			continue
		}
		_ = listener.Close()
		addrs = append(addrs, addr)
	}
	if len(addrs) < n {
		return nil, errNoPorts
	}
	return addrs, nil
}

var (
	errNoPorts       = errors.New("no free ports")
	errNotAccepted   = errors.New("a job was not accepted")
	errNotCarriedOut = errors.New("an operator's command was not carried out")
	errStopped       = errors.New("stopped by a signal")
	errTooLong       = errors.New("it took too long")
)

func newCluster(s site, rec *recorder, seed uint64) (*cluster, error) {
	dir, err := os.MkdirTemp("", "harewalk-case-")
	if err != nil {
		return nil, err
	}
	c := &cluster{site: s, rec: rec, dir: dir}
	running = c
	c.world = newWorld(rec, s.timing, s.teams, s.types, seed)
	c.state = newStateService(rec, s.state)
	if c.cloud, err = newCloud(c.world, c.nodeAddrs, s.cloudRPS, s.listLagS, s.capacity); err != nil {
		return nil, err
	}
	ports, err := freePorts(2 * s.controllers)
	if err != nil {
		return nil, err
	}
	for i := range s.controllers {
		n := &node{name: fmt.Sprintf("burrow-%d", i), index: i, public: ports[2*i], back: ports[2*i+1]}
		if n.state, err = c.state.listen(i); err != nil {
			return nil, err
		}
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		if err := c.writeSettings(n); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) nodeAddrs() map[string]string {
	addrs := map[string]string{}
	for _, n := range c.nodes {
		addrs[n.name] = n.public
	}
	return addrs
}

func (c *cluster) writeSettings(n *node) error {
	s := c.site
	others := []any{}
	for _, other := range c.nodes {
		if other != n {
			others = append(others, map[string]string{
				"node": other.name, "site": s.zones[other.index%len(s.zones)], "endpoint": other.back,
			})
		}
	}
	settings := map[string]any{
		"node": n.name, "site": s.zones[n.index%len(s.zones)], "public_addr": n.public, "back": n.back, "others": others,
		"services": map[string]string{"cloud": c.cloud.listen, "state": n.state},
		"params": map[string]any{
			"nodes": s.controllers, "zones": s.zones, "teams": s.teams, "objectives": append([]objective{}, s.objectives...),
			"workers": map[string]float64{
				"report_s": s.timing.reportS, "lease_s": s.timing.leaseS, "gang_wait_s": s.timing.gangWaitS,
				"gang_peer_s": s.timing.gangPeerS, "cancel_s": s.timing.cancelS,
			},
			"state": map[string]any{
				"rps": s.state.rps, "write_rps": s.state.writeRPS, "value_kb": s.state.valueKB, "txn_ops": s.state.txnOps,
			},
			"cloud":          map[string]float64{"rps": s.cloudRPS, "list_lag_s": s.listLagS},
			"machine_limits": map[string]any{"cores": s.cores, "mem_mb": s.memMB, "sockets": s.sockets},
			"skew_ms":        1000.0,
		},
	}
	raw, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return err
	}
	n.config = filepath.Join(c.dir, n.name+".json")
	if err := os.WriteFile(n.config, raw, 0o600); err != nil {
		return err
	}
	if s.operator == "" {
		return nil
	}
	return os.WriteFile(filepath.Join(c.dir, "operator.hcl"), []byte(s.operator), 0o600)
}

// runCommand returns the command of the deploy file that starts the service.
func runCommand() []string {
	raw, err := os.ReadFile("deploy/service.toml")
	if err == nil {
		for _, line := range strings.Split(string(raw), "\n") {
			if value, ok := strings.CutPrefix(line, "run = "); ok {
				return strings.Fields(strings.Trim(value, `"`))
			}
		}
	}
	return []string{"target/harewalk", "serve", "--config"}
}

// start starts a controller's process.
func (c *cluster) start(i int) error {
	n := c.nodes[i]
	log, err := os.OpenFile(filepath.Join(c.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	args := append(runCommand(), n.config)
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stderr = log
	level := os.Getenv("LOG_LEVEL")
	if level == "" {
		level = "info"
	}
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+level)
	if c.site.operator != "" {
		cmd.Env = append(cmd.Env, "HAREWALK_OPERATOR="+filepath.Join(c.dir, "operator.hcl"))
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	c.mu.Lock()
	n.cmd = cmd
	n.ended = ended
	c.mu.Unlock()
	c.rec.logf("controller %s started", n.name)
	go func() {
		err := cmd.Wait()
		c.rec.logf("controller %s ended: %v", n.name, err)
		c.mu.Lock()
		stopped := c.stopped
		c.mu.Unlock()
		if exit := cmd.ProcessState; !stopped && exit != nil && exit.Exited() && exit.ExitCode() != 0 {
			c.rec.breakRule("controller %s ended by itself with code %d", n.name, exit.ExitCode())
		}
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// startAll starts all controllers and waits until they are ready.
func (c *cluster) startAll() error {
	for i := range c.nodes {
		if err := c.start(i); err != nil {
			return err
		}
	}
	for i := range c.nodes {
		if !c.waitReady(i, 20*time.Second) {
			return fmt.Errorf("controller %d is not ready", i)
		}
	}
	return nil
}

func (c *cluster) waitReady(i int, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if c.up(i) {
			return true
		}
	}
	return false
}

// up reports whether a controller's health check succeeds.
func (c *cluster) up(i int) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + c.nodes[i].public + "/up")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to a controller's process.
func (c *cluster) signal(i int, s syscall.Signal) {
	c.mu.Lock()
	cmd := c.nodes[i].cmd
	c.mu.Unlock()
	c.rec.logf("signal %v to %s", s, c.nodes[i].name)
	_ = cmd.Process.Signal(s)
}

// kill ends a controller's process, and waits for its end.
func (c *cluster) kill(i int) {
	c.signal(i, syscall.SIGKILL)
	<-c.nodes[i].ended
}

// leader returns the index of the controller that leads, -1 if none does.
func (c *cluster) leader() int {
	name := c.state.leader()
	for i, n := range c.nodes {
		if n.name == name {
			return i
		}
	}
	return -1
}

// running is the cluster of this process.
var running *cluster

// endProcesses ends all processes that this one has started.
func endProcesses() {
	if running != nil {
		running.close()
	}
}

// close ends all processes and removes the temporary folder.
func (c *cluster) close() {
	c.mu.Lock()
	if c.stopped {
		c.mu.Unlock()
		return
	}
	c.stopped = true
	c.mu.Unlock()
	for _, n := range c.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.ended
		}
	}
	if os.Getenv("KEEP_DIR") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept", c.dir)
	}
}

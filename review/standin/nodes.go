package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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

// node is a controller, a process of the project's own program.
type node struct {
	name     string
	public   string
	back     string
	settings string // path of the settings file
	logPath  string
	process  *exec.Cmd // nil while it isn't running
}

// processes holds all controllers, so that every way to end this program ends them too.
var (
	processesMu sync.Mutex
	processes   []*node
)

// runCommand is the command of the deploy file that starts a controller, without the path of its settings.
func runCommand() []string {
	raw, err := os.ReadFile(filepath.Join("deploy", "service.toml"))
	if err != nil {
		fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`))
		}
	}
	fatal(errors.New("deploy/service.toml has no run command"))
	return nil
}

// listenForNode opens a free loopback port below the range of ports that systems usually give to outgoing connections:
// until the controller listens there, no connection can take it.
func listenForNode() net.Listener {
	const first, count = 12_000, 18_000
	for range 100 {
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(count)))
		if err == nil {
			return listener
		}
	}
	return listen()
}

// prepareNodes writes the settings of the controllers. stateAddr returns the address of the state service for each.
func prepareNodes(dir string, settings params, stateAddr func(int) string, cloudAddr string) []*node {
	var nodes []*node
	for i := range settings.Nodes {
		public, back := listenForNode(), listenForNode()
		nodes = append(nodes, &node{
			name:     fmt.Sprintf("burrow-%d", i),
			public:   public.Addr().String(),
			back:     back.Addr().String(),
			settings: filepath.Join(dir, fmt.Sprintf("settings-%d.json", i)),
			logPath:  filepath.Join(dir, fmt.Sprintf("burrow-%d.log", i)),
		})
		defer public.Close() //nolint:errcheck // the ports are free once all of them are chosen
		defer back.Close()   //nolint:errcheck // as above
	}
	for i, n := range nodes {
		others := []map[string]string{}
		for j, other := range nodes {
			if j != i {
				zone := settings.Zones[j%len(settings.Zones)]
				others = append(others, map[string]string{"node": other.name, "site": zone, "endpoint": other.back})
			}
		}
		raw, _ := json.MarshalIndent(map[string]any{
			"node": n.name, "site": settings.Zones[i%len(settings.Zones)], "public_addr": n.public, "back": n.back,
			"others": others, "params": settings,
			"services": map[string]string{"cloud": cloudAddr, "state": stateAddr(i)},
		}, "", "  ")
		if err := os.WriteFile(n.settings, raw, 0o600); err != nil {
			fatal(err)
		}
	}
	processesMu.Lock()
	processes = nodes
	processesMu.Unlock()
	return nodes
}

// start starts a controller with the command of the deploy file.
func (n *node) start() {
	processesMu.Lock()
	defer processesMu.Unlock()
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		go fatal(err)
		return
	}
	defer log.Close() //nolint:errcheck // the process has a duplicate of the descriptor
	command := runCommand()
	n.process = exec.Command(command[0], append(command[1:], n.settings)...)
	n.process.Stderr = log
	n.process.Stdout = log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		n.process = nil
		go fatal(err)
	}
}

// stopNodes ends all controllers.
func stopNodes() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, n := range processes {
		if n.process != nil {
			_ = n.process.Process.Kill()
			_ = n.process.Wait()
			n.process = nil
		}
	}
}

// startTimeout bounds the time until all controllers take requests.
const startTimeout = 15 * time.Second

// startNodes starts all controllers and waits until they take requests.
func startNodes(nodes []*node) {
	for _, n := range nodes {
		n.start()
	}
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, n := range nodes {
			if status, _ := request(http.MethodGet, "http://"+n.public+"/up", nil, time.Second); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(nodes) {
			return
		}
		if time.Now().After(deadline) {
			fatal(errors.New("the controllers do not take requests"))
		}
	}
}

// request sends a request; status 0 stands for no answer.
func request(method, url string, body []byte, timeout time.Duration) (status int, answer string) {
	r, err := http.NewRequest(method, url, strings.NewReader(string(body)))
	if err != nil {
		return 0, err.Error()
	}
	client := &http.Client{Timeout: timeout}
	defer client.CloseIdleConnections()
	response, err := client.Do(r)
	if err != nil {
		return 0, "no answer"
	}
	defer response.Body.Close() //nolint:errcheck // the body has been read
	raw, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(raw))
}

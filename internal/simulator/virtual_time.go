package simulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/config"
)

const (
	// defaultMeanDelay is the mean network delay of a message until SetNetwork or SetLinkDelay changes it.
	defaultMeanDelay = 2 * time.Millisecond
	// userTimeout is how long a user waits for an answer.
	userTimeout = 5 * time.Second
	// initialEpochMS is the controllers' wall clock at the simulation's start, in milliseconds since the Unix epoch.
	initialEpochMS = 1_800_000_000_000
)

// virtualTime is the environment in virtual time. The simulation and the controllers' real code run as events of one
// queue, on the goroutine that calls Advance. The same seed gives the same run. Computation takes no virtual time.
type virtualTime struct {
	clock       time.Duration
	queue       eventQueue
	nextSeq     uint64
	rng         *rand.Rand
	controllers []*simulatedController
	recorder    func(message) // unless nil, called for each message that is sent

	handlers map[string]handlerFunc // by address
	zoneOf   map[string]string      // by address; "" for an address that belongs to no zone
	network  network

	rolloutGeneration int // raised when a rolling restart begins or is stopped, which stops all earlier rolling restarts
}

// network is the state of the simulated network.
type network struct {
	meanDelay   time.Duration
	lossShare   float64              // share of messages that are lost
	lateShare   float64              // share of requests with additional lateness
	maxLateness time.Duration        // longest additional lateness; may exceed the sender's timeout
	partitions  map[string]Partition // by zone
	delayed     []delayedMessage     // messages that are delayed by partitions
	cutLinks    map[string]Links     // by a controller's address for users
}

// SetNetwork sets, for messages from now on, the mean network delay, the share of messages that are lost, and the
// share of requests that arrive late by up to maxLateness, which may exceed the sender's timeout.
func (sim *Simulation) SetNetwork(mean time.Duration, lossShare, lateShare float64, maxLateness time.Duration) {
	network := &sim.virtual.network
	network.meanDelay = mean
	network.lossShare = lossShare
	network.lateShare = lateShare
	network.maxLateness = maxLateness
}

// SetLinkDelay sets the mean network delay of messages from now on. The default is the minimum; 0 restores it.
func (sim *Simulation) SetLinkDelay(mean time.Duration) {
	sim.virtual.network.meanDelay = max(mean, defaultMeanDelay)
}

// event is a scheduled function call.
type event struct {
	at  time.Duration // time at which the event is due
	seq uint64        // order among events with the same time
	run func()
}

// eventQueue is a heap of events, ordered by time and then by the order in which they were scheduled.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || (q[a].at == q[b].at && q[a].seq < q[b].seq)
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = event{}
	*q = (*q)[:len(*q)-1]
	return last
}

// NewVirtualTime starts a simulation in virtual time, with its controllers. The function operator, unless it is nil,
// adds operators' settings to the settings of each controller. NewVirtualTime returns the error of that function or of
// invalid settings.
func NewVirtualTime(cfg Config, operator func(*config.Settings) error) (*Simulation, error) {
	env := &virtualTime{
		rng:      rand.New(rand.NewPCG(cfg.Seed, virtualTimeStream)),
		handlers: map[string]handlerFunc{},
		zoneOf:   map[string]string{},
		network: network{
			meanDelay:  defaultMeanDelay,
			partitions: map[string]Partition{},
			cutLinks:   map[string]Links{},
		},
	}
	sim, err := newSimulation(cfg, env)
	if err != nil {
		return nil, err
	}
	sim.virtual = env
	for i := range sim.settings {
		settings, err := config.Parse(sim.SettingsJSON(i))
		if err != nil {
			return nil, err
		}
		if operator != nil {
			if err := operator(settings); err != nil {
				return nil, err
			}
		}
		env.addController(i, settings)
	}
	for i := range env.controllers {
		sim.StartController(i)
	}
	return sim, nil
}

func (env *virtualTime) addController(index int, settings *config.Settings) {
	controller := &simulatedController{env: env, index: index, settings: settings, epochMS: initialEpochMS}
	env.controllers = append(env.controllers, controller)
	env.handlers[settings.PublicAddr] = controller.serve
	env.zoneOf[settings.PublicAddr] = settings.Zone
}

func (env *virtualTime) now() time.Duration { return env.clock }

func (env *virtualTime) schedule(duration time.Duration, f func()) {
	env.nextSeq++
	heap.Push(&env.queue, event{at: env.clock + max(0, duration), seq: env.nextSeq, run: f})
}

func (env *virtualTime) listen(name, zone string, handler handlerFunc) (string, error) {
	addr := name + ":80"
	env.handlers[addr] = handler
	env.zoneOf[addr] = zone
	return addr, nil
}

func (env *virtualTime) controllerAddrs(i int) (public, peer string, err error) {
	return fmt.Sprintf("node-%d:80", i), fmt.Sprintf("node-%d:81", i), nil
}

func (env *virtualTime) close() { env.queue = nil }

// Advance runs the simulation for the duration: it executes all events up to its end in order.
func (sim *Simulation) Advance(duration time.Duration) {
	env := sim.virtual
	end := env.clock + duration
	for len(env.queue) > 0 && env.queue[0].at <= end {
		next := heap.Pop(&env.queue).(event)
		env.clock = next.at
		next.run()
	}
	env.clock = end
}

// Request sends a user's request to a controller, checks the answer against the answers that users had received
// before, and calls then with the answer; status 0 stands for no answer.
func (sim *Simulation) Request(
	controller int,
	method, path string,
	body []byte,
	then func(status int, body []byte),
) {
	sim.requestWithin(userTimeout, controller, method, path, body, then)
}

func (sim *Simulation) requestWithin(
	timeout time.Duration,
	controller int,
	method, path string,
	body []byte,
	then func(status int, body []byte),
) {
	sentAt := sim.now()
	about, ofJob := parseUserRequest(method, path, body)
	sim.recordCancelRequest(about)
	public := sim.virtual.controllers[controller].settings.PublicAddr
	request := httpRequest{sender: senderUser, method: method, path: path, body: body}
	answered := func(status int, raw []byte) {
		if ofJob {
			sim.checkUserAnswer(about, sentAt, status, raw)
		}
		if isJobList(method, path) {
			sim.checkJobList(status, raw)
		}
		then(status, raw)
	}
	sim.virtual.roundTrip("", public, request, timeout, sim.virtual.linkCheck(public, UserLinks), answered)
	if method == http.MethodPost && (path == runsPath || strings.HasSuffix(path, abortSuffix)) {
		sim.mu.Lock()
		sim.duplicate("", path, body)
		sim.mu.Unlock()
	}
}

func (env *virtualTime) post(machine, zone, addr, path string, body []byte, then func(int, []byte)) {
	request := httpRequest{sender: valueOr(machine, senderDuplicate), method: http.MethodPost, path: path, body: body}
	env.roundTrip(zone, addr, request, heartbeatTimeout, env.linkCheck(addr, WorkerLinks), then)
}

// requestExchange is one request from a zone to an address, and its answer.
type requestExchange struct {
	env      *virtualTime
	zone     string
	addr     string
	request  httpRequest
	isCut    func() bool // reports whether the link is cut at the time of the call
	then     func(status int, body []byte)
	finished bool // then has been called
}

// roundTrip delivers a request from a zone and passes the answer to then, each with a random network delay. An answer
// after the time limit is dropped, although the request may have been handled.
func (env *virtualTime) roundTrip(
	zone, addr string,
	request httpRequest,
	limit time.Duration,
	isCut func() bool,
	then func(int, []byte),
) {
	env.recordMessage(requestTo(addr, request))
	x := &requestExchange{env: env, zone: zone, addr: addr, request: request, isCut: isCut, then: then}
	env.schedule(limit, x.fail)
	network := &env.network
	delay := jitter(env.rng, network.meanDelay)
	if network.lateShare > 0 && env.rng.Float64() < network.lateShare {
		delay += time.Duration(env.rng.Float64() * float64(network.maxLateness))
	}
	if network.lossShare > 0 && env.rng.Float64() < network.lossShare {
		return
	}
	env.schedule(delay, func() { env.deliver(zone, env.zoneOf[addr], x.requestArrived, x.fail) })
}

// finish passes an answer to the sender. Only the first call has an effect.
func (x *requestExchange) finish(status int, body []byte) {
	if !x.finished {
		x.finished = true
		x.then(status, body)
	}
}

func (x *requestExchange) fail() { x.finish(0, nil) }

func (x *requestExchange) requestArrived() {
	if x.isCut() {
		return
	}
	handler := x.env.handlers[x.addr]
	if handler == nil {
		x.fail()
		return
	}
	handler(x.request, x.reply)
}

// reply sends an answer to the sender.
func (x *requestExchange) reply(status int, body any) {
	env := x.env
	raw := encodeBody(body)
	env.recordMessage(answerFrom(x.addr, x.request, status, raw))
	if x.isCut() || env.network.lossShare != 0 && env.rng.Float64() < env.network.lossShare {
		return
	}
	arrived := func() { x.finish(status, raw) }
	env.schedule(jitter(env.rng, env.network.meanDelay), func() {
		env.deliver(env.zoneOf[x.addr], x.zone, arrived, x.fail)
	})
}

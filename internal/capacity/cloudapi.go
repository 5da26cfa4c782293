package capacity

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/store"
)

const (
	cloudTimeout = 5 * time.Second
	// cloudBurstS is the largest burst of requests, in seconds of the allowed rate.
	cloudBurstS = 0.8
	// listPageSize is the number of machines in one page of the cloud's list.
	listPageSize = 500
)

// CloudClient is a client of the cloud's API that limits the rate of its requests.
type CloudClient struct {
	addr   string
	sender httpio.Sender
	now    func() time.Duration
	budget *store.Budget
}

// NewCloud returns a client that sends at most rps requests a second.
func NewCloud(addr string, sender httpio.Sender, now func() time.Duration, rps float64) *CloudClient {
	return &CloudClient{addr: addr, sender: sender, now: now, budget: store.NewBudget(rps, cloudBurstS)}
}

// call sends a request and passes the response to done. If the rate limit is reached, call returns false and done isn't
// called.
func (c *CloudClient) call(method, path string, body any, done func(httpio.Response)) bool {
	if !c.budget.Allows(c.now(), 1, store.CriticalPriority) {
		return false
	}
	c.budget.Take(1)
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body) // the bodies below consist of strings, numbers and booleans
	}
	c.sender.Send(c.addr, httpio.Request{Method: method, Path: path, Body: raw, Timeout: cloudTimeout}, done)
	return true
}

// Types requests the machine types. It passes the response's body and the types to done, both nil after any error. If
// the rate limit is reached, Types returns false and done isn't called.
func (c *CloudClient) Types(done func(raw []byte, types []MachineType)) bool {
	return c.call(http.MethodGet, "/machine_types", nil, func(response httpio.Response) {
		if !isOK(response) {
			done(nil, nil)
			return
		}
		types, err := ParseTypes(response.Body)
		if err != nil {
			done(nil, nil)
			return
		}
		done(response.Body, types)
	})
}

// isOK reports whether a request succeeded with status 200.
func isOK(response httpio.Response) bool {
	return response.Err == nil && response.Status == http.StatusOK
}

// listedState is a machine's state in the cloud's list. A machine with any other value than the two below is running.
type listedState string

const (
	listedBooting listedState = "starting"
	listedFailed  listedState = "failed"
)

// listedMachine is a machine in the cloud's list.
type listedMachine struct {
	Name   string
	Addr   string
	Type   string
	Zone   string
	IsSpot bool
	State  listedState
	AgeS   float64 // seconds
}

// listedMachineBody is a listedMachine on the wire.
type listedMachineBody struct {
	Name   string      `json:"name_id"`
	Addr   string      `json:"address"`
	Type   string      `json:"build"`
	Zone   string      `json:"meadow"`
	IsSpot bool        `json:"stray"`
	State  listedState `json:"stance"`
	AgeS   float64     `json:"age_s"`
}

// listBody is the body of one page of the cloud's list.
type listBody struct {
	Machines []listedMachineBody `json:"dens"`
	HasMore  bool                `json:"has_next"`
}

// parseList decodes one page of the cloud's list.
func parseList(raw []byte) (machines []listedMachine, hasMore bool, err error) {
	var body listBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, false, err
	}
	machines = make([]listedMachine, len(body.Machines))
	for i, wireMachine := range body.Machines {
		machines[i] = listedMachine(wireMachine)
	}
	return machines, body.HasMore, nil
}

// listPath returns the path of the list page that begins after the machine of a name; the name is "" for the first
// page.
func listPath(after string) string {
	path := "/machines?limit=" + strconv.Itoa(listPageSize)
	if after != "" {
		path += "&since=" + url.QueryEscape(after)
	}
	return path
}

// rentBody is the body of a request to rent machines. Claim is an idempotency key: the cloud executes each claim once,
// however often the request arrives.
type rentBody struct {
	Type   string `json:"build"`
	Claim  string `json:"claim"`
	Count  int    `json:"how_many"`
	Zone   string `json:"meadow"`
	IsSpot bool   `json:"stray"`
}

// machineNamesBody is the body of a request to return machines, and of the response to a request to rent some.
type machineNamesBody struct {
	Names []string `json:"dens"`
}

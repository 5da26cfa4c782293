package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/planner"
	"github.com/harewalk/harewalk/internal/store"
)

// MachineType is a type as the cloud offers it.
type MachineType struct {
	Name    string   `json:"name"`
	CPUs    float64  `json:"cpus"`
	GPUs    float64  `json:"accelerators"`
	Mem     float64  `json:"memory_gb"`
	CacheGB float64  `json:"cache_gb"`
	FetchGB float64  `json:"fetch_gb_per_s"`
	Price   float64  `json:"price"`
	Spot    float64  `json:"low_price"`
	BootS   float64  `json:"ready_s"`
	Zones   []string `json:"meadows"`
}

// Size is what a machine of the type has.
func (t MachineType) Size() planner.Size { return planner.Size{CPUs: t.CPUs, GPUs: t.GPUs, Mem: t.Mem} }

// ParseTypes reads the cloud's answer about its types.
func ParseTypes(raw []byte) ([]MachineType, error) {
	var b struct {
		Types []MachineType `json:"builds"`
	}
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, err
	}
	if len(b.Types) == 0 {
		return nil, fmt.Errorf("no machine types")
	}
	return b.Types, nil
}

// listed is one machine in the cloud's list.
type listed struct {
	Name  string  `json:"name_id"`
	Addr  string  `json:"address"`
	Type  string  `json:"build"`
	Zone  string  `json:"meadow"`
	Spot  bool    `json:"stray"`
	State string  `json:"stance"`
	AgeS  float64 `json:"age_s"`
}

// Cloud sends requests to the cloud within its rate.
type Cloud struct {
	addr   string
	send   httpio.Sender
	now    func() time.Duration
	budget *store.Budget
}

// NewCloud makes a client with a share of the cloud's rate.
func NewCloud(addr string, send httpio.Sender, now func() time.Duration, rps float64) *Cloud {
	return &Cloud{addr: addr, send: send, now: now, budget: store.NewBudget(rps, 0.8)}
}

func (c *Cloud) call(method, path string, body any, done func(httpio.Response)) bool {
	if !c.budget.Allows(c.now(), 1, store.SafetyPriority) {
		return false
	}
	c.budget.Take(1)
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	c.send.Send(c.addr, httpio.Request{Method: method, Path: path, Body: raw, Timeout: 5 * time.Second}, done)
	return true
}

// Types asks for the machine types.
func (c *Cloud) Types(done func(raw []byte, types []MachineType)) bool {
	return c.call("GET", "/machine_types", nil, func(response httpio.Response) {
		if response.Err != nil || response.Status != 200 {
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

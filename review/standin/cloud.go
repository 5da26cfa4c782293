package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// machineType is a machine type as the cloud publishes it.
type machineType struct {
	Name     string   `json:"name"`
	CPUs     float64  `json:"cpus"`
	GPUs     float64  `json:"accelerators"`
	MemoryGB float64  `json:"memory_gb"`
	CacheGB  float64  `json:"cache_gb"`
	FetchGB  float64  `json:"fetch_gb_per_s"`
	Price    float64  `json:"price"`
	LowPrice float64  `json:"low_price"`
	ReadyS   float64  `json:"ready_s"`
	Zones    []string `json:"meadows"`
}

// rental is a request to rent machines.
type rental struct {
	Claim string `json:"claim"`
	Type  string `json:"build"`
	Zone  string `json:"meadow"`
	Spot  bool   `json:"stray"`
	Count int    `json:"how_many"`
}

// machineNames is the body of a request to return machines, and of the answer to a rental.
type machineNames struct {
	Names []string `json:"dens"`
}

// bootShare is the boot time as a share of ready_s, the shortest that the pages call usual.
const bootShare = 0.6

// ServeHTTP implements http.Handler for the cloud. The cloud has capacity unless it is exhausted.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/machine_types":
		p.answer(w, map[string]any{"builds": p.types})
	case r.URL.Path == "/machines" && r.Method == http.MethodGet:
		p.listMachines(w, r)
	case r.URL.Path == "/machines":
		p.rent(w, r)
	case r.URL.Path == "/machines/return":
		p.returnMachines(w, r)
	default:
		writeJSON(w, http.StatusNotFound, []byte("{}"))
	}
}

func (p *platform) answer(w http.ResponseWriter, body any) {
	raw, _ := json.Marshal(body)
	writeJSON(w, http.StatusOK, raw)
}

// listMachines lists the machines whose rental is older than the list's lag, in the order of their names.
func (p *platform) listMachines(w http.ResponseWriter, r *http.Request) {
	type entry struct {
		Name  string  `json:"name_id"`
		Addr  string  `json:"address"`
		Type  string  `json:"build"`
		Zone  string  `json:"meadow"`
		Spot  bool    `json:"stray"`
		State string  `json:"stance"`
		AgeS  float64 `json:"age_s"`
	}
	lag := seconds(p.settings.Cloud.ListLagS)
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	entries := []entry{}
	p.mu.Lock()
	for _, m := range p.machines {
		isOld := time.Since(m.rentedAt) > lag
		isGone := !m.returnedAt.IsZero() && time.Since(m.returnedAt) > lag
		if m.name <= r.URL.Query().Get("since") || !isOld || isGone {
			continue
		}
		e := entry{m.name, m.addr, m.kind.Name, m.zone, m.spot, "running", (time.Since(m.rentedAt) - lag).Seconds()}
		if time.Now().Before(m.upAt.Add(lag)) {
			e.State = "starting"
		}
		if !m.diedAt.IsZero() && time.Since(m.diedAt) > failedAfter {
			e.State = "failed"
		}
		entries = append(entries, e)
	}
	p.mu.Unlock()
	hasNext := limit > 0 && len(entries) > limit
	if hasNext {
		entries = entries[:limit]
	}
	p.answer(w, map[string]any{"dens": entries, "has_next": hasNext})
}

// failedAfter is how long a machine that has died is still listed as running.
const failedAfter = 30 * time.Second

func (p *platform) rent(w http.ResponseWriter, r *http.Request) {
	var request rental
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		writeJSON(w, http.StatusBadRequest, []byte("{}"))
		return
	}
	p.mu.Lock()
	names, isRepeated := p.claims[request.Claim]
	p.mu.Unlock()
	if !isRepeated && p.isExhausted {
		p.record.printf("cloud: no capacity for %d %s in %s", request.Count, request.Type, request.Zone)
		writeJSON(w, http.StatusServiceUnavailable, []byte(`{"error":"no capacity"}`))
		return
	}
	if !isRepeated {
		for range request.Count {
			boot := seconds(p.typeNamed(request.Type).ReadyS * bootShare)
			m := p.addMachine(request.Type, request.Zone, request.Spot, 0, boot)
			names = append(names, m.name)
		}
		p.mu.Lock()
		p.claims[request.Claim] = names
		p.mu.Unlock()
	}
	p.record.printf("cloud: rents %d %s in %s (claim %s): %v",
		request.Count, request.Type, request.Zone, request.Claim, names)
	p.answer(w, machineNames{names})
}

func (p *platform) returnMachines(w http.ResponseWriter, r *http.Request) {
	var request machineNames
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		writeJSON(w, http.StatusBadRequest, []byte("{}"))
		return
	}
	p.record.printf("cloud: takes back %v", request.Names)
	for _, name := range request.Names {
		if m := p.machineNamed(name); m != nil {
			m.stop()
			p.mu.Lock()
			m.returnedAt = time.Now()
			p.mu.Unlock()
		}
	}
	p.answer(w, struct{}{})
}

// typeNamed returns the machine type with a name.
func (p *platform) typeNamed(name string) machineType {
	i := slices.IndexFunc(p.types, func(t machineType) bool { return t.Name == name })
	if i < 0 {
		panic(fmt.Sprintf("no machine type %q", name))
	}
	return p.types[i]
}

// machineNamed returns the machine with a name, or nil.
func (p *platform) machineNamed(name string) *machine {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.machines, func(m *machine) bool { return m.name == name })
	if i < 0 {
		return nil
	}
	return p.machines[i]
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

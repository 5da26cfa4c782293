package simulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/harewalk/harewalk/internal/capacity"
	"github.com/harewalk/harewalk/internal/jobs"
)

// Limits of the cloud's protocol.
const (
	maxRentCount   = 50
	maxReturnCount = 100
)

// failedStateDelay is the time after a machine's end at which the cloud begins to list it as failed.
const failedStateDelay = 3 * time.Second

// cloud is the state of the simulated cloud: all machines, including those that have ended, and the injected faults.
type cloud struct {
	machines            []*Machine // sorted by name
	machineByName       map[string]*Machine
	claims              map[string][]string // names of the machines rented, by claim
	costOfEndedMachines float64

	down      bool
	bootFault bootFault
}

// Message bodies of the cloud's protocol. The fields of answers are in alphabetical order of their tags.
type (
	// cloudMachine is a machine as the cloud lists it. Type is the name of its machine type.
	cloudMachine struct {
		Name  string  `json:"name_id"`
		Addr  string  `json:"address"`
		Type  string  `json:"build"`
		Zone  string  `json:"meadow"`
		Spot  bool    `json:"stray"`
		State string  `json:"stance"`
		AgeS  float64 `json:"age_s"`
	}
	machineTypesResponse struct {
		Types []capacity.MachineType `json:"builds"`
	}
	listMachinesResponse struct {
		Machines []cloudMachine `json:"dens"`
		More     bool           `json:"has_next"`
	}
	// rentRequest is the body of a request to rent Count machines of a machine type in a zone.
	rentRequest struct {
		Claim string `json:"claim"`
		Type  string `json:"build"`
		Zone  string `json:"meadow"`
		Spot  bool   `json:"stray"`
		Count int    `json:"how_many"`
	}
	// machineNames is the body of a request to return machines and of the answer to a rent request.
	machineNames struct {
		Names []string `json:"dens"`
	}
	emptyResponse struct{}
	errorResponse struct {
		Error string `json:"error"`
	}
)

// SetCloudOutage begins or ends an outage, in which the cloud refuses every request.
func (sim *Simulation) SetCloudOutage(on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.cloud.down = on
}

// serveCloud answers a request to the cloud.
func (sim *Simulation) serveCloud(request httpRequest) (status int, body any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.cloud.down {
		return http.StatusServiceUnavailable, errorResponse{Error: "trouble"}
	}
	now := sim.now()
	switch {
	case request.path == "/machine_types":
		return http.StatusOK, machineTypesResponse{Types: sim.cfg.Types}
	case request.path == "/machines" && request.method == http.MethodGet:
		return sim.listMachines(now, request)
	case request.path == "/machines":
		return sim.rentMachines(now, request)
	case request.path == "/machines/return":
		return sim.returnMachines(now, request)
	}
	return http.StatusNotFound, nil
}

func (sim *Simulation) returnMachines(now time.Duration, request httpRequest) (status int, body any) {
	var returning machineNames
	if json.Unmarshal(request.body, &returning) != nil || len(returning.Names) > maxReturnCount {
		return http.StatusBadRequest, nil
	}
	for _, name := range returning.Names {
		if machine := sim.cloud.machineByName[name]; machine != nil && !machine.returned {
			sim.terminate(now, machine)
			machine.returned = true
		}
	}
	return http.StatusOK, emptyResponse{}
}

func (sim *Simulation) listMachines(now time.Duration, request httpRequest) (status int, body any) {
	lag := jobs.Seconds(sim.cfg.Cloud.ListLagS)
	limit, _ := strconv.Atoi(request.query.Get("limit"))
	after := request.query.Get("since")
	listed := []cloudMachine{}
	for _, machine := range sim.cloud.machines {
		if machine.Name > after && now-machine.rentedAt >= lag && !machine.returned {
			listed = append(listed, machine.listing(now))
		}
	}
	more := limit > 0 && len(listed) > limit
	if more {
		listed = listed[:limit]
	}
	return http.StatusOK, listMachinesResponse{Machines: listed, More: more}
}

// listing returns the machine as the cloud lists it.
func (m *Machine) listing(now time.Duration) cloudMachine {
	state := "running"
	switch {
	case now < m.upAt:
		state = "starting"
	case m.dead && now-m.diedAt > failedStateDelay:
		state = "failed"
	}
	return cloudMachine{
		Name:  m.Name,
		Addr:  m.addr,
		Type:  m.machineType.Name,
		Zone:  m.zone,
		Spot:  m.spot,
		State: state,
		AgeS:  (now - m.rentedAt).Seconds(),
	}
}

// rentMachines rents the requested number of machines, or fewer if the cloud's capacity is exhausted. A repeated
// request with a claim that has been served gets the same answer again.
func (sim *Simulation) rentMachines(now time.Duration, request httpRequest) (status int, body any) {
	var renting rentRequest
	if json.Unmarshal(request.body, &renting) != nil || renting.Count < 1 || renting.Count > maxRentCount {
		return http.StatusBadRequest, nil
	}
	if rented, ok := sim.cloud.claims[renting.Claim]; ok {
		return http.StatusOK, machineNames{Names: rented}
	}
	i := slices.IndexFunc(sim.cfg.Types, func(t capacity.MachineType) bool {
		return t.Name == renting.Type && slices.Contains(t.Zones, renting.Zone)
	})
	if i < 0 {
		return http.StatusBadRequest, nil
	}
	count := min(renting.Count, sim.cfg.MaxMachines-sim.liveMachines())
	var names []string
	for range max(0, count) {
		machine, err := sim.startMachine(now, sim.cfg.Types[i], renting.Zone, renting.Spot)
		if err != nil {
			break
		}
		names = append(names, machine.Name)
	}
	if names == nil {
		return http.StatusServiceUnavailable, errorResponse{Error: "no capacity"}
	}
	sim.cloud.claims[renting.Claim] = names
	return http.StatusOK, machineNames{Names: names}
}

// liveMachines returns the number of machines that haven't ended, including those that are booting.
func (sim *Simulation) liveMachines() (n int) {
	for _, machine := range sim.cloud.machines {
		if !machine.returned && !machine.dead {
			n++
		}
	}
	return n
}

func machineName(n int) string { return fmt.Sprintf("i-%06d", n) }

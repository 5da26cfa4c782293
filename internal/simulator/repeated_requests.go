package simulator

import (
	"net/http"
	"time"

	"github.com/harewalk/harewalk/internal/simulator/state"
)

// RepeatServiceRequests delivers a share of the requests that the state service and the cloud have carried out and
// answered once more, between minDelay and maxDelay after the answer, even if the sender has ended: transactions, lease
// calls, rentals and returns. Share 0 ends the fault.
func (sim *Simulation) RepeatServiceRequests(share float64, minDelay, maxDelay time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.faults.repeated.serviceShare = share
	sim.faults.repeated.serviceDelay = delayRange{minDelay, maxDelay}
}

// drawServiceRepeat returns the delay after which an answered request to a service is delivered again, and whether it
// is. Requests that only read are not repeated. The caller holds the mutex.
func (sim *Simulation) drawServiceRepeat(request httpRequest, status int) (time.Duration, bool) {
	fault := &sim.faults.repeated
	if fault.serviceShare == 0 || request.method == http.MethodGet || status == http.StatusTooManyRequests {
		return 0, false
	}
	if fault.rng.Float64() >= fault.serviceShare {
		return 0, false
	}
	return fault.serviceDelay.draw(fault.rng), true
}

// repeatStateRequest schedules the repetition of an answered request to the state service, if it is drawn. The caller
// holds the mutex.
func (sim *Simulation) repeatStateRequest(controller int, request httpRequest, status int) {
	delay, isRepeated := sim.drawServiceRepeat(request, status)
	if !isRepeated {
		return
	}
	sim.env.schedule(delay, func() {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.stats.ServiceRequestsRepeated++
		before := sim.state.service.Revision
		_, _ = sim.applyStateRequest(controller, request)
		if request.path == state.TxnPath && sim.state.service.Revision > before {
			sim.recordRepeatedTxn(request.body)
		}
	})
}

// recordRepeatedTxn records the keys that a repeated transaction has changed.
func (sim *Simulation) recordRepeatedTxn(body []byte) {
	txn, err := state.DecodeTxn(body)
	if err != nil {
		return
	}
	for _, op := range txn.Then {
		sim.records.repeatedWrites = append(sim.records.repeatedWrites, op.Put+op.Delete)
	}
}

// RepeatedWrites returns the keys that repeated transactions have changed.
func (sim *Simulation) RepeatedWrites() []string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return append([]string(nil), sim.records.repeatedWrites...)
}

// repeatCloudRequest schedules the repetition of an answered request to the cloud, if it is drawn.
func (sim *Simulation) repeatCloudRequest(request httpRequest, status int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	delay, isRepeated := sim.drawServiceRepeat(request, status)
	if !isRepeated {
		return
	}
	sim.env.schedule(delay, func() {
		_, _ = sim.serveCloud(request)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.stats.ServiceRequestsRepeated++
	})
}

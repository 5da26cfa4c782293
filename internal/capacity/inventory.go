package capacity

import (
	"net/http"
	"time"

	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/jobs"
)

const (
	listRetryDelay = time.Second
	// minListIntervalS is the minimum time between two reads of the list, in seconds.
	minListIntervalS = 2.0
	// Slack beyond the list's lag for which a booting machine, or a machine with an expired lease, may be unlisted.
	unlistedBootSlack    = 20 * time.Second
	unlistedExpiredSlack = 10 * time.Second
	// returnedRetentionLags is how long a returned machine is remembered, in multiples of the list's lag limit. A list
	// may be older than the list read before it, so a machine that is missing from one list may be in the next.
	returnedRetentionLags = 10
)

// inventory is the progress of reading the cloud's list, page by page.
type inventory struct {
	requesting  bool            // a request is in flight
	nextRequest time.Duration   // earliest time of the next page request
	lastName    string          // the last machine of the pages read so far, "" before the first page
	machines    []listedMachine // the machines of the pages read so far
	readAt      time.Duration   // time at which the list was last read completely; 0: not yet
}

// restart drops the pages read so far. nextRequest is when the first page may be requested again.
func (i *inventory) restart(nextRequest time.Duration) {
	i.lastName = ""
	i.machines = nil
	i.nextRequest = nextRequest
}

// requestList requests the next page of the list.
func (m *Manager) requestList() {
	path := listPath(m.inventory.lastName)
	m.inventory.requesting = m.call(http.MethodGet, path, nil, func(response httpio.Response) {
		m.inventory.requesting = false
		m.handleListPage(m.Cloud.now(), response)
	})
}

// handleListPage adds a page to the list. After the last page it reconciles the fleet with the list. After an error it
// reads the list again from the first page.
func (m *Manager) handleListPage(now time.Duration, response httpio.Response) {
	if !isOK(response) {
		m.inventory.restart(now + listRetryDelay)
		return
	}
	page, hasMore, err := parseList(response.Body)
	if err != nil {
		m.inventory.restart(now + listRetryDelay)
		return
	}
	m.inventory.machines = append(m.inventory.machines, page...)
	if hasMore && len(page) > 0 {
		m.inventory.lastName = page[len(page)-1].Name
		m.inventory.nextRequest = now
		return
	}
	listed := m.inventory.machines
	interval := jobs.Seconds(max(minListIntervalS, m.Settings.Params.Cloud.ListLagS/2))
	m.inventory.restart(now + interval)
	m.inventory.readAt = now
	m.reconcile(now, listed)
}

// reconcile updates the fleet and the boots from a complete list.
func (m *Manager) reconcile(now time.Duration, listed []listedMachine) {
	isListed := make(map[string]bool, len(listed))
	for _, entry := range listed {
		isListed[entry.Name] = true
		if !m.isReturned(entry.Name) {
			m.reconcileMachine(now, entry)
		}
	}
	m.reconcileUnlisted(now, isListed)
}

// isReturned reports whether a machine was returned. A list that still has the machine lags behind.
func (m *Manager) isReturned(name string) bool {
	if machine := m.Fleet.FindMachine(name); machine != nil && machine.Condition == fleet.Terminated {
		return true
	}
	return m.returnedAt[name] > 0
}

// reconcileMachine updates the fleet and the boots from one entry of the list.
func (m *Manager) reconcileMachine(now time.Duration, entry listedMachine) {
	switch entry.State {
	case listedFailed:
		machine := m.Fleet.RegisterMachine(now, entry.Name)
		m.Fleet.SetMachineDetails(machine, entry.Addr, entry.Type, entry.Zone, entry.IsSpot)
		m.Fleet.HandleTerminated(now, machine, string(causeFailed))
		m.toReturn[entry.Name] = causeFailed
		delete(m.boots, entry.Name)
	case listedBooting:
		m.reconcileBoot(now, entry)
	default:
		machine := m.Fleet.RegisterMachine(now, entry.Name)
		if machine.Type == jobs.None {
			m.Fleet.SetMachineDetails(machine, entry.Addr, entry.Type, entry.Zone, entry.IsSpot)
		}
		delete(m.boots, entry.Name)
	}
}

// reconcileBoot adds or updates a boot from the machine's entry in the list, unless the machine has sent a heartbeat.
func (m *Manager) reconcileBoot(now time.Duration, entry listedMachine) {
	machine := m.Fleet.FindMachine(entry.Name)
	if machine != nil && machine.Session > 0 {
		return
	}
	boot := m.boots[entry.Name]
	if boot == nil {
		boot = &pendingBoot{offer: offer{
			typeIndex: m.Names.Types.Index(entry.Type),
			zone:      m.Names.Zones.Index(entry.Zone),
			isSpot:    entry.IsSpot,
		}}
		m.boots[entry.Name] = boot
	}
	boot.startedAt = now - jobs.Seconds(entry.AgeS)
}

// reconcileUnlisted drops boots and machines with an expired lease that have been unlisted for longer than the list's
// lag explains. It also drops the records of machines that were returned long ago.
func (m *Manager) reconcileUnlisted(now time.Duration, isListed map[string]bool) {
	lagLimit := jobs.Seconds(2*m.Settings.Params.Cloud.ListLagS + 2)
	for name, boot := range m.boots {
		if !isListed[name] && now-boot.startedAt > lagLimit+unlistedBootSlack {
			delete(m.boots, name)
		}
	}
	for name, returnedAt := range m.returnedAt {
		if now-returnedAt > returnedRetentionLags*lagLimit {
			delete(m.returnedAt, name)
		}
	}
	for _, machine := range m.Fleet.Machines() {
		isExpired := machine.Condition == fleet.LeaseExpired && now-machine.LastContactAt > lagLimit+unlistedExpiredSlack
		if isExpired && !isListed[machine.Name] {
			m.Fleet.HandleTerminated(now, machine, string(causeUnlisted))
		}
	}
}

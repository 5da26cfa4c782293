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
	// Times by which a machine may be missing from the list beyond the list's lag.
	maxUnlistedBoot    = 20 * time.Second
	maxUnlistedExpired = 10 * time.Second
	// returnedRetentionLags is for how many times the list's lag a returned machine is remembered: a list may be
	// older than the one before, so its absence from one list isn't enough.
	returnedRetentionLags = 10
)

// inventory is the progress of reading the cloud's list, page by page.
type inventory struct {
	requesting  bool // a request is in flight
	nextRequest time.Duration
	lastName    string // of the pages read so far, "" before the first
	machines    []listedMachine
	readAt      time.Duration // when the last whole list was read, 0: never
}

// restart drops the pages read so far.
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

// handleListPage adds a page, and reconciles the fleet with the list after the last one.
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

// reconcile updates the fleet and the boots from the list.
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

// isReturned reports whether a machine was returned, so that a list which still shows it lags behind.
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
		m.Fleet.HandleReturned(now, machine, string(causeFailed))
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

// reconcileBoot updates a boot from its entry of the list, unless its machine has sent a heartbeat already.
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

// reconcileUnlisted drops what has been missing from the list for longer than the list's lag explains.
func (m *Manager) reconcileUnlisted(now time.Duration, isListed map[string]bool) {
	lag := jobs.Seconds(2*m.Settings.Params.Cloud.ListLagS + 2)
	for name, boot := range m.boots {
		if !isListed[name] && now-boot.startedAt > lag+maxUnlistedBoot {
			delete(m.boots, name)
		}
	}
	for name, returnedAt := range m.returnedAt {
		if now-returnedAt > returnedRetentionLags*lag {
			delete(m.returnedAt, name)
		}
	}
	for _, machine := range m.Fleet.Machines() {
		isExpired := machine.Condition == fleet.LeaseExpired && now-machine.LastContactAt > lag+maxUnlistedExpired
		if isExpired && !isListed[machine.Name] {
			m.Fleet.HandleReturned(now, machine, string(causeUnlisted))
		}
	}
}

package capacity

import (
	"encoding/json"
	"net/url"
	"time"

	"github.com/harewalk/harewalk/internal/config"
	"github.com/harewalk/harewalk/internal/fleet"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/jobs"
)

func (c *Manager) list(now time.Duration) {
	path := "/machines?limit=500"
	if c.page != "" {
		path += "&since=" + url.QueryEscape(c.page)
	}
	c.listing = c.call("GET", path, nil, func(response httpio.Response) {
		c.listing = false
		at := c.Cloud.now()
		var b struct {
			Machines []listed `json:"dens"`
			More     bool     `json:"has_next"`
		}
		if response.Err != nil || response.Status != 200 || json.Unmarshal(response.Body, &b) != nil {
			c.page, c.listedSoFar, c.nextList = "", nil, at+time.Second
			return
		}
		c.listedSoFar = append(c.listedSoFar, b.Machines...)
		if b.More && len(b.Machines) > 0 {
			c.page, c.nextList = b.Machines[len(b.Machines)-1].Name, at
			return
		}
		all := c.listedSoFar
		c.page, c.listedSoFar = "", nil
		c.nextList = at + config.Seconds(max(2, c.Settings.Params.Cloud.ListLagS/2))
		c.take(at, all)
	})
}

// take compares a list with what is known.
func (c *Manager) take(now time.Duration, all []listed) {
	c.listedAt = now
	lag := config.Seconds(2*c.Settings.Params.Cloud.ListLagS + 2)
	seen := map[string]bool{}
	for _, l := range all {
		seen[l.Name] = true
		if machine := c.Fleet.FindMachine(l.Name); (machine != nil && machine.Condition == fleet.Terminated) || c.gone[l.Name] > 0 {
			continue // the list lags
		}
		switch l.State {
		case failed:
			machine := c.Fleet.RegisterMachine(now, l.Name)
			c.Fleet.SetMachineDetails(machine, l.Addr, l.Type, l.Zone, l.Spot)
			c.Fleet.HandleReturned(now, machine, "failed")
			c.toReturn[l.Name] = "failed"
			delete(c.boots, l.Name)
		case booting:
			machine := c.Fleet.FindMachine(l.Name)
			if machine != nil && machine.Session > 0 {
				continue
			}
			b := c.boots[l.Name]
			if b == nil {
				b = &pendingBoot{offer: offer{c.Names.Types.Index(l.Type), c.Names.Zones.Index(l.Zone), l.Spot}}
				c.boots[l.Name] = b
			}
			b.since = now - config.Seconds(l.AgeS)
		default:
			machine := c.Fleet.RegisterMachine(now, l.Name)
			if machine.Type == jobs.None {
				c.Fleet.SetMachineDetails(machine, l.Addr, l.Type, l.Zone, l.Spot)
			}
			delete(c.boots, l.Name)
		}
	}
	for name, b := range c.boots {
		if !seen[name] && now-b.since > lag+20*time.Second {
			delete(c.boots, name)
		}
	}
	for name, at := range c.gone {
		// A list may be older than the one before, so that one without it proves nothing.
		if now-at > 10*lag {
			delete(c.gone, name)
		}
	}
	for _, machine := range c.Fleet.Machines() {
		if !seen[machine.Name] && machine.Condition == fleet.LeaseExpired && now-machine.LastHeardAt > lag+10*time.Second {
			c.Fleet.HandleReturned(now, machine, "no longer listed")
		}
	}
}

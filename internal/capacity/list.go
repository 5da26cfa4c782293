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
	c.listing = c.call("GET", path, nil, func(r httpio.Response) {
		c.listing = false
		at := c.Cloud.now()
		var b struct {
			Machines []listed `json:"dens"`
			More     bool     `json:"has_next"`
		}
		if r.Err != nil || r.Status != 200 || json.Unmarshal(r.Body, &b) != nil {
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
		if m := c.Fleet.FindMachine(l.Name); (m != nil && m.Condition == fleet.Terminated) || c.gone[l.Name] > 0 {
			continue // the list lags
		}
		switch l.State {
		case failed:
			m := c.Fleet.RegisterMachine(now, l.Name)
			c.Fleet.SetMachineDetails(m, l.Addr, l.Type, l.Zone, l.Spot)
			c.Fleet.HandleReturned(now, m, "failed")
			c.toReturn[l.Name] = "failed"
			delete(c.boots, l.Name)
		case booting:
			m := c.Fleet.FindMachine(l.Name)
			if m != nil && m.Session > 0 {
				continue
			}
			b := c.boots[l.Name]
			if b == nil {
				b = &pendingBoot{offer: offer{c.Names.Types.Index(l.Type), c.Names.Zones.Index(l.Zone), l.Spot}}
				c.boots[l.Name] = b
			}
			b.since = now - config.Seconds(l.AgeS)
		default:
			m := c.Fleet.RegisterMachine(now, l.Name)
			if m.Type == jobs.None {
				c.Fleet.SetMachineDetails(m, l.Addr, l.Type, l.Zone, l.Spot)
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
	for _, m := range c.Fleet.Machines() {
		if !seen[m.Name] && m.Condition == fleet.LeaseExpired && now-m.LastHeardAt > lag+10*time.Second {
			c.Fleet.HandleReturned(now, m, "no longer listed")
		}
	}
}

package controller

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/url"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/store"
)

// maxLicenceRequests bounds the questions to licence servers under way: a silent one must not keep
// others, or the state service, from being asked.
const maxLicenceRequests = 8

// queryLicenceServers asks the licence servers that are due.
func (c *Controller) queryLicenceServers(now time.Duration) {
	f := c.term.fleet
	if f.Gate.Licences.None() {
		return
	}
	for _, pool := range f.Gate.Licences.Due(now) {
		c.licenceSender.Send(pool.Server, httpio.Request{Method: "GET", Path: "/v1/pools/" + url.PathEscape(pool.Name), Timeout: licences.AskTimeout}, func(response httpio.Response) {
			if c.term.fleet != f {
				return
			}
			at := c.loop.Now()
			ans, err := licences.Answer{}, response.Err
			if err == nil && response.Status != 200 {
				err = fmt.Errorf("licence server answered %d", response.Status)
			}
			if err == nil {
				ans, err = licences.ParseAnswer(response.Body)
			}
			if err != nil {
				slog.Debug("licence server asked in vain", "pool", pool.Name, "cause", err)
				f.Gate.Licences.Failed(at, pool.Name)
				return
			}
			f.Gate.Licences.Answered(at, now, pool.Name, ans, f.LicenceHolder)
		})
	}
}

// handleLicenceCount takes over a count that was set.
func (c *Controller) handleLicenceCount(item store.Item) {
	if err := c.licencePools.Item(item.Key, item.Value, item.Version); err != nil {
		c.rollout.MarkUnreadable(item.Key, item.Value, err)
	}
}

// setCount is an operator's command: the body of a POST to a pool.
type setCount struct {
	Count   *int           `json:"count"`
	Lower   licences.Lower `json:"on_lower"`
	Version *uint64        `json:"version"` // the command was based on; nil: any
	By      string         `json:"by"`
	Reset   bool           `json:"reset"` // back to what is declared
}

// licenceCall answers an operator's request about pools: all of them, one, or a new count.
func (c *Controller) licenceCall(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	show := func(ix int32) licences.View { return c.term.fleet.Gate.Licences.Show(now, ix, c.jobs.Names.Teams.Name) }
	if request.Name == "" {
		all := []licences.View{}
		for ix := range c.licencePools.Pools() {
			all = append(all, show(int32(ix)))
		}
		reply(api.Reply{Status: 200, Body: all})
		return
	}
	ix, ok := c.licencePools.Index(request.Name)
	switch {
	case !ok:
		reply(api.Refuse(api.NotFound, fmt.Sprintf("no licence pool %q is declared", request.Name)))
	case request.Verb == "show":
		reply(api.Reply{Status: 200, Body: show(ix)})
	default:
		c.setCount(now, ix, request.Body, func() licences.View { return show(ix) }, reply)
	}
}

// maxCount is the largest count that can be set.
const maxCount = 1_000_000

func (c *Controller) setCount(now time.Duration, ix int32, body []byte, show func() licences.View, reply func(api.Reply)) {
	var s setCount
	switch err := json.Unmarshal(body, &s); {
	case err != nil:
		reply(api.Refuse(api.InvalidRequest, "not a command: "+err.Error()))
		return
	case !s.Reset && (s.Count == nil || *s.Count < 0 || *s.Count > maxCount):
		reply(api.Refuse(api.InvalidRequest, fmt.Sprintf("count must be 0 to %d", maxCount)))
		return
	case s.Lower != "" && s.Lower != licences.Wait && s.Lower != licences.Stop:
		reply(api.Refuse(api.InvalidRequest, `on_lower must be "wait" or "stop"`))
		return
	case len(s.By) > 100:
		reply(api.Refuse(api.InvalidRequest, "by is longer than 100 characters"))
		return
	}
	stamp, by := c.licencePools.Stamp(ix)
	if s.Version != nil && *s.Version != stamp {
		reply(api.Reply{Status: 409, Body: conflict(by, show())})
		return
	}
	key := licences.Key(c.licencePools.Pools()[ix].Name)
	op := store.Op{Delete: key}
	if !s.Reset {
		raw, _ := json.Marshal(licences.Set{Count: *s.Count, Lower: s.Lower, By: s.By, AtMS: c.jobs.WallMS(now)})
		op = store.Op{Put: key, Value: raw}
	} else if stamp == 0 {
		reply(api.Reply{Status: 200, Body: show()})
		return
	}
	f := c.term.fleet
	c.store.Txn(store.Txn{If: []store.Condition{c.membership.LeaderCondition(), {Key: key, Version: stamp}}, Then: []store.Op{op}}, store.NormalPriority, func(result store.Result) {
		switch {
		case result.Outcome == store.Committed && c.term.fleet == f:
			if s.Reset {
				c.licencePools.Drop(key, result.Revision)
			} else {
				c.handleLicenceCount(store.Item{Key: key, Value: op.Value, Version: result.Revision})
			}
			slog.Info("licences counted anew", "pool", c.licencePools.Pools()[ix].Name, "count", c.licencePools.Count(ix), "by", s.By, "on_lower", c.licencePools.Lowering(ix))
			reply(api.Reply{Status: 200, Body: show()})
		case result.Outcome == store.Conflict && c.term.fleet == f:
			reply(api.Reply{Status: 409, Body: conflict("another command", show())})
		default:
			reply(api.Refuse(api.Unavailable, "it is not known whether the count was set: look before setting it again"))
		}
	})
}

func conflict(by string, v licences.View) any {
	if by == "" {
		by = "somebody"
	}
	return struct {
		Error string        `json:"error"`
		Now   licences.View `json:"now"`
	}{fmt.Sprintf("the count was changed by %s meanwhile: it is %d", by, v.Count), v}
}

// admitLicences tells whether a job's tasks can ever have their seats.
func (c *Controller) admitLicences(of map[string]int, team string, n int) api.AdmissionResult {
	ok, why := c.licencePools.Ever(of, team, n)
	return api.AdmissionResult{OK: ok, Known: true, Open: !ok, Why: why}
}

package controller

import (
	"cmp"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"time"

	"github.com/harewalk/harewalk/internal/api"
	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/licences"
	"github.com/harewalk/harewalk/internal/rollout"
	"github.com/harewalk/harewalk/internal/store"
)

const (
	// maxLicenceRequests is the maximum number of licence server queries in flight: an unresponsive server must not
	// block requests to other servers or to the state service.
	maxLicenceRequests = 8
	// maxLicenceCount is the largest count that can be set.
	maxLicenceCount = 1_000_000
	// maxLicenceByLength is the maximum length of the name of the operator who sets a count, in bytes.
	maxLicenceByLength = 100
)

// queryLicenceServers sends the licence server queries that are due.
func (c *Controller) queryLicenceServers(now time.Duration) {
	ledger := c.term.fleet.Gate.Licences
	if ledger.IsEmpty() {
		return
	}
	isSameTerm := c.termCheck()
	for _, pool := range ledger.StartDueQueries(now) {
		request := httpio.Request{
			Method:  http.MethodGet,
			Path:    "/v1/pools/" + url.PathEscape(pool.Name),
			Timeout: licences.QueryTimeout,
		}
		c.licenceSender.Send(pool.Server, request, func(response httpio.Response) {
			if isSameTerm() {
				c.handleLicenceAnswer(now, pool.Name, response)
			}
		})
	}
}

// handleLicenceAnswer applies a licence server's response to the query that was sent at sentAt.
func (c *Controller) handleLicenceAnswer(sentAt time.Duration, pool string, response httpio.Response) {
	at := c.loop.Now()
	answer, err := parseLicenceAnswer(response)
	if err != nil {
		slog.Debug("licence server query failed", "pool", pool, "error", err)
		c.term.fleet.Gate.Licences.QueryFailed(pool)
		return
	}
	c.term.fleet.Gate.Licences.ApplyAnswer(at, sentAt, pool, answer, c.term.fleet.LicenceHolder)
}

// licenceServerError reports a licence server's response with another status than 200.
type licenceServerError struct{ status int }

// Error returns the text for logs.
func (e *licenceServerError) Error() string {
	return fmt.Sprintf("licence server answered %d", e.status)
}

// parseLicenceAnswer parses a licence server's response. The error is a *licenceServerError, the request's error or
// the parse error of the body.
func parseLicenceAnswer(response httpio.Response) (licences.Answer, error) {
	if response.Err != nil {
		return licences.Answer{}, response.Err
	}
	if response.Status != http.StatusOK {
		return licences.Answer{}, &licenceServerError{response.Status}
	}
	return licences.ParseAnswer(response.Body)
}

// handleLicenceCount applies a stored count of licences.
func (c *Controller) handleLicenceCount(item store.Item) {
	if err := c.licencePools.ApplyRecord(item.Key, item.Value, item.Version); err != nil {
		c.rollout.MarkUnreadable(item.Key, item.Value, err)
	}
}

// licenceCommandError reports a field of a command and the rule that its value violates.
type licenceCommandError struct{ field, rule string }

// Error returns the text for the operator.
func (e *licenceCommandError) Error() string { return e.field + " " + e.rule }

// validate returns a *licenceCommandError if the command is malformed.
func (l *licenceCommand) validate() error {
	switch {
	case !l.Reset && (l.Count == nil || *l.Count < 0 || *l.Count > maxLicenceCount):
		return &licenceCommandError{"count", fmt.Sprintf("must be 0 to %d", maxLicenceCount)}
	case l.Lower != "" && l.Lower != licences.WaitForRelease && l.Lower != licences.PreemptHolders:
		rule := fmt.Sprintf("must be %q or %q", licences.WaitForRelease, licences.PreemptHolders)
		return &licenceCommandError{"on_lower", rule}
	case len(l.By) > maxLicenceByLength:
		return &licenceCommandError{"by", fmt.Sprintf("is longer than %d characters", maxLicenceByLength)}
	}
	return nil
}

// refuseLicenceConflict returns the response to a command that was based on an older count. changedBy is the author
// of the later change, "" if unknown.
func refuseLicenceConflict(changedBy string, view licences.View) api.Reply {
	changedBy = cmp.Or(changedBy, rollout.UnnamedOperator)
	message := fmt.Sprintf("the count was changed by %s meanwhile: it is %d", changedBy, view.Count)
	return api.Reply{Status: http.StatusConflict, Body: licenceConflict{message, view}}
}

// handleLicenceRequest handles an operator's request: it shows all pools or one pool, or sets a pool's count.
func (c *Controller) handleLicenceRequest(now time.Duration, request api.LeaderRequest, reply func(api.Reply)) {
	if request.Name == "" {
		views := []licences.View{}
		for index := range c.licencePools.Pools() {
			views = append(views, c.licenceView(now, int32(index)))
		}
		reply(api.Reply{Status: http.StatusOK, Body: views})
		return
	}
	index, ok := c.licencePools.Index(request.Name)
	switch {
	case !ok:
		reply(api.Refuse(api.NotFound, fmt.Sprintf("no licence pool %q is declared", request.Name)))
	case request.Verb == api.VerbShow:
		reply(api.Reply{Status: http.StatusOK, Body: c.licenceView(now, index)})
	default:
		c.setLicenceCount(now, index, request.Body, reply)
	}
}

// licenceView returns a pool with the licence units that the fleet counts as in use.
func (c *Controller) licenceView(now time.Duration, index int32) licences.View {
	return c.term.fleet.Gate.Licences.View(now, index, c.jobs.Names.Teams.Name)
}

// setLicenceCount handles a command that sets a pool's count or resets it to the declared count.
func (c *Controller) setLicenceCount(now time.Duration, index int32, body []byte, reply func(api.Reply)) {
	var command licenceCommand
	if refusal, refused := decodeCommand(body, &command); refused {
		reply(refusal)
		return
	}
	if err := command.validate(); err != nil {
		reply(api.Refuse(api.InvalidRequest, err.Error()))
		return
	}
	version, changedBy := c.licencePools.OverrideVersion(index)
	if command.Version != nil && *command.Version != version {
		reply(refuseLicenceConflict(changedBy, c.licenceView(now, index)))
		return
	}
	if command.Reset && version == 0 {
		reply(api.Reply{Status: http.StatusOK, Body: c.licenceView(now, index)})
		return
	}
	c.writeLicenceCount(now, index, version, &command, reply)
}

// writeLicenceCount writes a pool's count on condition that its version is unchanged, and replies by the result.
func (c *Controller) writeLicenceCount(
	now time.Duration,
	index int32,
	version uint64,
	command *licenceCommand,
	reply func(api.Reply),
) {
	op := c.licenceOp(now, index, command)
	key := licences.Key(c.licencePools.Pools()[index].Name)
	txn := store.Txn{
		If:   []store.Condition{{Key: key, Version: version}},
		Then: []store.Op{op},
	}
	indeterminate := api.Refuse(
		api.Unavailable,
		"it is not known whether the count was set: check the pool before setting it again",
	)
	c.commitCommand(txn, indeterminate, reply, func(result store.Result) {
		switch result.Outcome {
		case store.Committed:
			c.confirmLicenceCount(index, op, command, result.Revision)
			reply(api.Reply{Status: http.StatusOK, Body: c.licenceView(now, index)})
		case store.Conflict:
			reply(refuseLicenceConflict("another command", c.licenceView(now, index)))
		default:
			reply(indeterminate)
		}
	})
}

// licenceOp returns the store operation of a command.
func (c *Controller) licenceOp(now time.Duration, index int32, command *licenceCommand) store.Op {
	key := licences.Key(c.licencePools.Pools()[index].Name)
	if command.Reset {
		return store.Op{Delete: key}
	}
	raw, _ := json.Marshal(licences.CountOverride{
		Count: *command.Count,
		Lower: command.Lower,
		By:    command.By,
		AtMS:  c.jobs.WallMS(now),
	})
	return store.Op{Put: key, Value: raw}
}

// confirmLicenceCount applies a command whose write was committed.
func (c *Controller) confirmLicenceCount(index int32, op store.Op, command *licenceCommand, revision uint64) {
	if command.Reset {
		c.licencePools.ApplyDeletion(op.Delete, revision)
	} else {
		c.handleLicenceCount(store.Item{Key: op.Put, Value: op.Value, Version: revision})
	}
	slog.Info("licence count changed",
		"pool", c.licencePools.Pools()[index].Name,
		"count", c.licencePools.Count(index),
		"by", command.By,
		"on_lower", c.licencePools.Lowering(index),
	)
}

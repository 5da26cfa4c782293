package api

import (
	"reflect"
	"testing"
	"time"
)

// Each route to the leader sets the request's resource, its verb and the name in the path, and passes on the query
// parameters. Only POST requests have a body.
func TestLeaderRoutesSetResourceAndVerb(t *testing.T) {
	var got LeaderRequest
	address := startServer(t, Routes{
		MaxConns:          10,
		MaxKeepAliveConns: 10,
		Leader: &LeaderAPI{
			Licences: true,
			Sessions: true,
			Handle: func(_ time.Duration, request LeaderRequest, reply func(Reply)) {
				got = request
				reply(Reply{Status: 200})
			},
		},
	})
	body := []byte("{}") // the body of every request that requestStatus sends
	for route, want := range map[string]LeaderRequest{
		"GET /v2/runs?where=a&since=b&limit=3": {
			Resource: ResourceJobs,
			Verb:     VerbShow,
			Query:    LeaderQuery{Where: "a", Since: "b", Limit: "3"},
		},
		"GET /v2/sessions?user=ada&team=red": {
			Resource: ResourceSessions,
			Verb:     VerbShow,
			Query:    LeaderQuery{User: "ada", Team: "red"},
		},
		"GET /v2/runs/x/why":         {Resource: ResourcePendingReasons, Verb: VerbShow, Name: "x"},
		"GET /v2/runs/x/events":      {Resource: ResourceEvents, Verb: VerbShow, Name: "x"},
		"GET /v2/events":             {Resource: ResourceEvents, Verb: VerbShow},
		"GET /v2/admin":              {Resource: ResourceAdmin, Verb: VerbShow},
		"POST /v2/admin":             {Resource: ResourceAdmin, Verb: VerbSet, Body: body},
		"GET /v2/zones":              {Resource: ResourceZones, Verb: VerbShow},
		"GET /v2/zones/x":            {Resource: ResourceZones, Verb: VerbShow, Name: "x"},
		"GET /v2/rollout":            {Resource: ResourceRollout, Verb: VerbShow},
		"POST /v2/rollout":           {Resource: ResourceRollout, Verb: VerbSet, Body: body},
		"GET /v2/licences":           {Resource: ResourceLicences, Verb: VerbShow},
		"GET /v2/licences/x":         {Resource: ResourceLicences, Verb: VerbShow, Name: "x"},
		"POST /v2/licences/x":        {Resource: ResourceLicences, Verb: VerbSet, Name: "x", Body: body},
		"POST /v2/sessions":          {Resource: ResourceSessions, Verb: VerbOpen, Body: body},
		"GET /v2/sessions/x":         {Resource: ResourceSessions, Verb: VerbShow, Name: "x"},
		"GET /v2/sessions/x/explain": {Resource: ResourceSessions, Verb: VerbExplain, Name: "x"},
		"POST /v2/sessions/x/attach": {Resource: ResourceSessions, Verb: VerbAttach, Name: "x", Body: body},
		"POST /v2/sessions/x/keep":   {Resource: ResourceSessions, Verb: VerbKeepAlive, Name: "x", Body: body},
		"POST /v2/sessions/x/close":  {Resource: ResourceSessions, Verb: VerbClose, Name: "x", Body: body},
		"POST /v2/sessions/x/report": {Resource: ResourceSessions, Verb: VerbHeartbeat, Name: "x", Body: body},
	} {
		if status := requestStatus(t, address, route, ""); status != 200 || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got status %d and request %+v, want 200 and %+v", route, status, got, want)
		}
	}
}

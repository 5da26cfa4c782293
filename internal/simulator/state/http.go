package state

import (
	"encoding/json"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
)

// Serve handles one request. A watch is answered immediately with the changes so far, which may be none.
func (s *Service) Serve(request httpio.Request) httpio.Response {
	s.Expire()
	if s.Down {
		return respond(http.StatusServiceUnavailable, nil)
	}
	switch {
	case request.Path == "/holds":
		return s.serveGrant(request.Body)
	case strings.HasPrefix(request.Path, "/holds/"):
		return s.serveLease(request)
	case request.Path == TxnPath:
		return s.serveTxn(request.Body)
	case strings.HasPrefix(request.Path, "/keys/"):
		return s.serveKey(strings.TrimPrefix(request.Path, "/keys/"))
	}
	target, err := url.Parse(request.Path)
	if err != nil {
		return respond(http.StatusBadRequest, nil)
	}
	if target.Path == "/follow" {
		return s.serveWatch(target.Query())
	}
	return s.serveList(target.Query())
}

func respond(status int, body any) httpio.Response {
	raw, _ := json.Marshal(body)
	return httpio.Response{Status: status, Body: raw}
}

func (s *Service) serveGrant(body []byte) httpio.Response {
	var granting grantRequest
	_ = json.Unmarshal(body, &granting)
	id := s.grant(time.Duration(granting.TTLMS) * time.Millisecond)
	return respond(http.StatusOK, grantResponse{ID: id})
}

// serveLease revokes or renews a lease.
func (s *Service) serveLease(request httpio.Request) httpio.Response {
	id, _ := strconv.ParseUint(strings.Split(request.Path, "/")[2], 10, 64)
	if _, ok := s.leases[id]; !ok {
		return respond(http.StatusNotFound, nil)
	}
	if request.Method == http.MethodDelete {
		s.revoke(id)
	} else {
		s.renew(id)
	}
	return respond(http.StatusOK, nil)
}

// serveTxn applies a transaction if all its conditions are met. Otherwise the answer has status 409 and lists the keys
// whose conditions failed.
func (s *Service) serveTxn(body []byte) httpio.Response {
	txn, _ := DecodeTxn(body)
	for _, op := range txn.Then {
		if _, ok := s.leases[op.Lease]; op.Lease != 0 && !ok {
			return respond(http.StatusBadRequest, errorResponse{Error: "no such lease"})
		}
	}
	var failed []string
	for _, condition := range txn.If {
		if s.Keys[condition.Key].Version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	if failed != nil {
		return respond(http.StatusConflict, txnConflict{Revision: s.Revision, Failed: failed})
	}
	s.Apply(txn.Then)
	return respond(http.StatusOK, txnResponse{Revision: s.Revision})
}

func (s *Service) serveKey(key string) httpio.Response {
	item, ok := s.Keys[key]
	if !ok {
		return respond(http.StatusNotFound, nil)
	}
	return respond(http.StatusOK, itemMessage(item))
}

// serveList answers with a page of the items whose keys have a prefix, sorted by key, after the key in "since".
func (s *Service) serveList(query url.Values) httpio.Response {
	prefix := query.Get("starts")
	since := query.Get("since")
	limit, _ := strconv.Atoi(query.Get("limit"))
	var names []string
	for key := range s.Keys {
		if strings.HasPrefix(key, prefix) && key > since {
			names = append(names, key)
		}
	}
	sort.Strings(names)
	var items []itemMessage
	for _, key := range names[:min(len(names), limit)] {
		items = append(items, itemMessage(s.Keys[key]))
	}
	return respond(http.StatusOK, listResponse{Revision: s.Revision, More: len(names) > limit, Items: items})
}

func (s *Service) serveWatch(query url.Values) httpio.Response {
	after, _ := strconv.ParseUint(query.Get("since"), 10, 64)
	events, ok := s.ChangesSince(query.Get("starts"), after)
	if !ok {
		return respond(http.StatusGone, nil)
	}
	return respond(http.StatusOK, NewWatchResponse(s.Revision, events))
}

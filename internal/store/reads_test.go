package store_test

import (
	"strings"
	"testing"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
	"github.com/harewalk/harewalk/internal/store"
)

// A key changes between two pages of a list. The list has the revision of the first page, so that a watch from this
// revision delivers the changes that the first page lacks.
func TestListReturnsTheRevisionOfItsFirstPage(t *testing.T) {
	now := time.Duration(0)
	service := &simulatedService{}
	service.intercept = func(request httpio.Request) (httpio.Response, bool) {
		body := `{"pairs":[{"k":"h/a","data":1,"stamp":3}],"has_next":true,"epoch":7}`
		if strings.Contains(request.Path, "since=h%2Fa") {
			body = `{"pairs":[{"k":"h/b","data":2,"stamp":9}],"has_next":false,"epoch":9}`
		}
		return httpio.Response{Status: 200, Body: []byte(body)}, true
	}
	called := 0
	newClient(service, &now, 1e6).List("h/", func(items []store.Item, revision uint64, err error) {
		called++
		if err != nil || len(items) != 2 || revision != 7 {
			t.Errorf("got %d items at revision %d, error %v; want 2 items at revision 7", len(items), revision, err)
		}
	})
	if called != 1 {
		t.Errorf("got %d callbacks, want 1", called)
	}
}

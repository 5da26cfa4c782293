package store

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
)

const (
	getTimeout  = 1500 * time.Millisecond
	listTimeout = 4 * time.Second
	// listPageItems is the maximum number of keys in one page of a list.
	listPageItems = 1000
	// watchTimeoutMargin is added to the wait of a watch for its request timeout, so that an open watch may outlast an
	// outage of the service.
	watchTimeoutMargin = 20 * time.Second
)

// Get reads one key. If the key does not exist, done gets an Item with version 0 and no error.
func (c *Client) Get(key string, priority Priority, done func(Item, error)) {
	request := httpio.Request{Method: http.MethodGet, Path: "/keys/" + key, Timeout: getTimeout}
	c.call(request, 0, priority, func(response httpio.Response) {
		if hasStatus(response, http.StatusNotFound) {
			done(Item{Key: key}, nil)
			return
		}
		done(decodeItem(response))
	})
}

// List reads all keys with a prefix, page by page. done gets the items and the revision of the first page. A watch
// from this revision delivers every change that the list may have missed.
func (c *Client) List(prefix string, done func(items []Item, revision uint64, err error)) {
	request := &listRequest{client: c, prefix: prefix, done: done}
	request.fetchPage("")
}

// listRequest is the state of one List call between its pages.
type listRequest struct {
	client   *Client
	prefix   string
	items    []Item // items of the pages read so far
	revision uint64 // revision of the first page
	done     func(items []Item, revision uint64, err error)
}

// fetchPage requests the page of the keys that follow the key after, or the first page if after is "".
func (l *listRequest) fetchPage(after string) {
	path := "/keys?starts=" + url.QueryEscape(l.prefix) + "&limit=" + strconv.Itoa(listPageItems)
	if after != "" {
		path += "&since=" + url.QueryEscape(after)
	}
	request := httpio.Request{Method: http.MethodGet, Path: path, Timeout: listTimeout}
	l.client.call(request, 0, CriticalPriority, func(response httpio.Response) {
		var page listResponse
		if err := decode(response, &page); err != nil {
			l.done(nil, 0, err)
			return
		}
		l.addPage(page, after == "")
	})
}

func (l *listRequest) addPage(page listResponse, first bool) {
	if first {
		l.revision = page.Revision
	}
	l.items = appendItems(l.items, page.Items)
	if page.More && len(page.Items) > 0 {
		l.fetchPage(page.Items[len(page.Items)-1].Key)
		return
	}
	l.done(l.items, l.revision, nil)
}

// Watch waits for changes of keys with a prefix that are newer than the revision after, for at most wait. done gets
// the changes and the revision up to which they are complete. The error is ErrCompacted if the service no longer has
// the changes after that revision.
func (c *Client) Watch(
	prefix string,
	after uint64,
	wait time.Duration,
	done func(revision uint64, events []Event, err error),
) {
	path := "/follow?starts=" + url.QueryEscape(prefix) +
		"&since=" + strconv.FormatUint(after, 10) +
		"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	request := httpio.Request{Method: http.MethodGet, Path: path, Timeout: wait + watchTimeoutMargin}
	c.call(request, 0, CriticalPriority, func(response httpio.Response) {
		if hasStatus(response, http.StatusGone) {
			done(0, nil, ErrCompacted)
			return
		}
		done(decodeWatch(response))
	})
}

package store

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/harewalk/harewalk/internal/httpio"
)

const leaseTimeout = 1500 * time.Millisecond

// errNoLeaseID is returned when the response to a grant has no id or id 0.
var errNoLeaseID = errors.New("state service: response to a lease grant has no id")

// GrantLease requests a lease that expires when ttl has passed since its last renewal. done gets the id of the lease.
func (c *Client) GrantLease(ttl time.Duration, done func(id uint64, err error)) {
	body, err := json.Marshal(grantRequest{TTLMillis: ttl.Milliseconds()})
	if err != nil {
		done(0, err)
		return
	}
	request := httpio.Request{Method: http.MethodPost, Path: "/holds", Body: body, Timeout: leaseTimeout}
	c.call(request, 0, CriticalPriority, func(response httpio.Response) {
		var granted grantResponse
		if err := decode(response, &granted); err != nil {
			done(0, err)
			return
		}
		if granted.ID == 0 {
			done(0, errNoLeaseID)
			return
		}
		done(granted.ID, nil)
	})
}

// RenewLease renews a lease. The error is ErrLeaseExpired if the lease has expired. After any other error the lease
// may have been renewed or not.
func (c *Client) RenewLease(id uint64, done func(error)) {
	request := httpio.Request{
		Method:  http.MethodPost,
		Path:    leasePath(id) + "/touch",
		Body:    []byte("{}"),
		Timeout: leaseTimeout,
	}
	c.call(request, 0, CriticalPriority, func(response httpio.Response) {
		if hasStatus(response, http.StatusNotFound) {
			done(ErrLeaseExpired)
			return
		}
		done(checkStatus(response))
	})
}

// RevokeLease ends a lease at once. done gets true if the lease has certainly ended, by this request or earlier.
func (c *Client) RevokeLease(id uint64, done func(ok bool)) {
	request := httpio.Request{Method: http.MethodDelete, Path: leasePath(id), Timeout: leaseTimeout}
	c.call(request, 0, CriticalPriority, func(response httpio.Response) {
		succeeded := response.Status/100 == 2 || response.Status == http.StatusNotFound
		done(response.Err == nil && succeeded)
	})
}

func leasePath(id uint64) string { return "/holds/" + strconv.FormatUint(id, 10) }

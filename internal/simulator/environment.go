package simulator

import (
	"encoding/json"
	"math/rand/v2"
	"net/url"
	"time"
)

// httpRequest is one HTTP request to a service of the simulation.
type httpRequest struct {
	sender       string // in virtual time
	method, path string
	query        url.Values
	body         []byte
}

// target is a request's path with its query, whose parameters are sorted by name.
func (request httpRequest) target() string {
	if len(request.query) == 0 {
		return request.path
	}
	return request.path + "?" + request.query.Encode()
}

// replyFunc takes the answer to a request: a status and a body, either []byte or a value to be encoded as JSON.
// Status 0 stands for a connection that was refused.
type replyFunc func(status int, body any)

// handlerFunc answers one request, at once or later, at most once.
type handlerFunc func(httpRequest, replyFunc)

// environment is the time and the network that a simulation runs on.
type environment interface {
	// now returns the time since the simulation's start.
	now() time.Duration
	// schedule calls f after a time, unless the environment has been closed.
	schedule(duration time.Duration, f func())
	// listen opens an address, in a zone or in none (""), whose requests the handler serves. The name is unique.
	listen(name, zone string, handler handlerFunc) (addr string, err error)
	// controllerAddrs returns a controller's address for users and workers, and the one for the other controllers.
	controllerAddrs(controller int) (public, back string, err error)
	// post sends a request from a machine ("" for a late copy) in a zone to an address; status 0 stands for no
	// answer.
	post(machine, zone, addr, path string, body []byte, then func(status int, body []byte))
	close()
}

// encodeBody returns the bytes of an answer's body.
func encodeBody(body any) []byte {
	if raw, ok := body.([]byte); ok {
		return raw
	}
	raw, _ := json.Marshal(body)
	return raw
}

// jitter draws a time between half and one and a half of a mean.
func jitter(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration((0.5 + rng.Float64()) * float64(mean))
}

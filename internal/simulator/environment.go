package simulator

import (
	"encoding/json"
	"math/rand/v2"
	"net/url"
	"time"
)

// httpRequest is one HTTP request to a service of the simulation.
type httpRequest struct {
	sender       string // name of the sender in virtual time, "" in real time
	method, path string
	query        url.Values
	body         []byte
}

// target returns the request's path with its query, whose parameters are sorted by name.
func (request httpRequest) target() string {
	if len(request.query) == 0 {
		return request.path
	}
	return request.path + "?" + request.query.Encode()
}

// replyFunc receives the answer to a request: a status and a body, either []byte or a value to be encoded as JSON.
// Status 0 stands for a refused connection.
type replyFunc func(status int, body any)

// handlerFunc handles one request. It calls the replyFunc at most once, before or after it returns.
type handlerFunc func(httpRequest, replyFunc)

// environment provides the time and the network of a simulation.
type environment interface {
	// now returns the time since the simulation's start.
	now() time.Duration
	// schedule calls f after the duration, unless the environment has been closed by then.
	schedule(duration time.Duration, f func())
	// listen opens an address in a zone ("" for none), whose requests the handler serves. The name must be unique.
	listen(name, zone string, handler handlerFunc) (addr string, err error)
	// controllerAddrs returns a controller's public address for users and workers, and its peer address for the other
	// controllers.
	controllerAddrs(controller int) (public, peer string, err error)
	// post sends a request to an address and passes the answer to then. Status 0 means that no answer arrived. The
	// machine and the zone are those of the sender. For a duplicated message the machine is "".
	post(machine, zone, addr, path string, body []byte, then func(status int, body []byte))
	close()
}

// encodeBody returns the body of an answer as bytes: []byte unchanged, other values encoded as JSON.
func encodeBody(body any) []byte {
	if raw, ok := body.([]byte); ok {
		return raw
	}
	raw, _ := json.Marshal(body)
	return raw
}

// jitter draws a duration between 0.5 and 1.5 times the mean.
func jitter(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration((0.5 + rng.Float64()) * float64(mean))
}

// Package drain contains the desired state of draining: the controllers and machines with operators' drain requests.
//
// The desired state is stored in one durable document, which every controller watches and each command writes by a
// transaction. So of two conflicting commands one is committed, and the other is refused with the cause. From level
// rollout.DrainKeys on, the drain request of each machine is stored under a key of its own instead of in the document.
//
// The package decides how a command changes the desired state. The controller writes the change and drains controllers
// and machines. The package has no clock and starts no goroutine; only the controller's event loop calls it.
package drain

// newestFormat is the newest format of the document, and of a machine's record, that this release reads.
const newestFormat = 1

// Request is an operator's request to drain a controller or a machine, in its stored form.
type Request struct {
	By   string `json:"by,omitempty"` // name of the operator; "": not given
	AtMS int64  `json:"at_ms"`        // time of the command, Unix time in milliseconds
	// Stop means that a machine's tasks are stopped, with time to save, instead of running to their end.
	Stop bool `json:"stop,omitempty"`
}

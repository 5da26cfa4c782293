// Package drain keeps which controllers and machines operators want to be drained, the desired state.
//
// Every controller follows it. It is one durable document that each command writes by transaction, so that of two
// commands that conflict one is carried out and the other is refused with the cause; the drain requests of machines
// have keys of their own beside the document, from the cluster's level on at which every controller reads them.
//
// The package decides what a command changes of the desired state. It neither writes that nor drains anything: the
// controller does both. It has no clock and no goroutine; all of it belongs to the event loop.
package drain

// newestFormat is the newest stored format of the document and of a machine's request that this release reads.
const newestFormat = 1

// Request is an operator's request to drain a controller or a machine: the wire type of what is stored.
type Request struct {
	By   string `json:"by,omitempty"`
	AtMS int64  `json:"at_ms"` // Unix time in milliseconds
	// Stop has a machine's tasks stopped, with time to save, instead of waiting for their end.
	Stop bool `json:"stop,omitempty"`
}

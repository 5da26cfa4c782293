// Package peers exchanges statuses between controllers over their "back" addresses: length-prefixed FlatBuffers
// frames, in one direction on each connection.
//
// The package owns these connections and their goroutines. Nothing about safety depends on a status: one that is
// lost, late or repeated changes only what users see, where workers are sent and how soon a leader resigns. It never
// decides what a status means. It is called by the controller.
package peers

//go:generate sh -c "flatc --go --gen-onefile --go-namespace wire -o wire status.fbs"

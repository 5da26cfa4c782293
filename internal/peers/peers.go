// Package peers exchanges statuses between controllers over their "back" addresses: length-prefixed FlatBuffers
// frames, in one direction on each connection.
//
// The package owns these connections and their goroutines. Safety doesn't depend on statuses: a lost, late or repeated
// status affects only what users see, which controller workers are directed to, and how soon a leader resigns. The
// controller calls the package and interprets the statuses.
package peers

//go:generate sh -c "flatc --go --gen-onefile --go-namespace wire -o wire status.fbs"

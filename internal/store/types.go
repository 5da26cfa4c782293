package store

import "encoding/json"

// Condition requires that a key has a version when the transaction is applied. Version 0 requires that the key
// does not exist.
type Condition struct {
	Key     string
	Version uint64
}

// Op writes or deletes one key: exactly one of Put and Delete names it. A key written with a Lease is deleted by
// the state service when that lease expires.
type Op struct {
	Put    string
	Value  json.RawMessage
	Lease  uint64
	Delete string
}

// Txn is a compare-and-swap transaction: all of Then is applied if every condition is met, otherwise nothing.
type Txn struct {
	If   []Condition
	Then []Op
}

// Item is one stored key with its value. Version is 0 if the key does not exist; Lease is 0 if the key is not
// bound to one.
type Item struct {
	Key     string
	Value   json.RawMessage
	Version uint64
	Lease   uint64
}

// Event is one change that a watch delivers: exactly one of Put and Delete names the key.
type Event struct {
	Put     string
	Value   json.RawMessage
	Version uint64
	Delete  string
}

// Outcome classifies how a transaction ended.
type Outcome uint8

// The outcomes of a transaction. An Indeterminate one must be resolved by a read before anything depends on it.
const (
	Committed     Outcome = iota // applied, durable
	Conflict                     // a condition failed, nothing was applied
	NotApplied                   // certainly not applied: outage, rejected, or beyond the client's own budget
	LeaseExpired                 // not applied: a lease named in it has expired
	Indeterminate                // may have been applied, or may still be
)

// String returns the outcome as log lines show it.
func (o Outcome) String() string {
	return [...]string{"committed", "conflict", "not applied", "lease expired", "indeterminate"}[o]
}

// Result is the answer to a transaction. Revision is set for Committed and Conflict, FailedKeys (the keys whose
// conditions failed) for Conflict.
type Result struct {
	Outcome    Outcome
	Revision   uint64
	FailedKeys []string
}

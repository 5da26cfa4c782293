package store

import "encoding/json"

// Condition requires that a key has the given version when the transaction is applied. Version 0 requires that the key
// does not exist.
type Condition struct {
	Key     string
	Version uint64
}

// Op writes or deletes one key. Exactly one of Put and Delete is set, to the key. If Lease is not 0, the state service
// deletes the key when the lease expires.
type Op struct {
	Put    string
	Value  json.RawMessage
	Lease  uint64
	Delete string
}

// Txn is a compare-and-swap transaction: if all conditions in If hold, all operations in Then are applied, otherwise
// none.
type Txn struct {
	If   []Condition
	Then []Op
}

// Item is one stored key with its value. Version is 0 if the key does not exist. Lease is 0 if the key has no lease.
type Item struct {
	Key     string
	Value   json.RawMessage
	Version uint64
	Lease   uint64
}

// Event is one change that a watch delivers. Exactly one of Put and Delete is set, to the key.
type Event struct {
	Put     string
	Value   json.RawMessage
	Version uint64
	Delete  string
}

// Outcome is the outcome of a transaction.
type Outcome uint8

// The outcomes of a transaction. After Indeterminate, a read has to show the state of the keys before the caller may
// rely on it.
const (
	Committed     Outcome = iota // applied and durable
	Conflict                     // not applied: a condition failed
	NotApplied                   // certainly not applied: outage, rejected, or over the client's own budget
	LeaseExpired                 // not applied: a lease in the transaction has expired
	Indeterminate                // may have been applied, or may be applied later
)

// String returns the outcome's name for log lines.
func (o Outcome) String() string {
	return [...]string{"committed", "conflict", "not applied", "lease expired", "indeterminate"}[o]
}

// Result is the result of a transaction. Revision is set for Committed and Conflict. FailedKeys is set for Conflict,
// to the keys whose conditions failed.
type Result struct {
	Outcome    Outcome
	Revision   uint64
	FailedKeys []string
}

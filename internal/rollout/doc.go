// Package rollout lets controllers of different releases share one cluster. It owns the formats of stored records and
// the release that writes each, what each controller has announced of itself, the cluster's level, the migration that
// follows an upgrade of the level, and the order in which controllers are restarted.
//
// The level is upgraded by one guarded transaction, once all controllers that the settings name have announced it. A
// new format is written from its level on, and the former one is read until the migration's end is durable.
//
// The package owns the keys under h/r/. It does no I/O, has no clock and starts no goroutine: the controller's
// event loop passes in changed keys and times, and sends the transactions that Tick and Execute return under the
// leader's guard. The package never decides who leads, and it never migrates records itself.
package rollout

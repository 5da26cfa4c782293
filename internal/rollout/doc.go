// Package rollout lets controllers of different releases share one cluster. It owns:
//   - the table of stored record formats and of the releases that introduced them;
//   - the announcements, in which each controller publishes its release and the highest level that it supports;
//   - the cluster's level and the progress of the migration that follows an upgrade of the level;
//   - the order in which controllers are restarted.
//
// The level is upgraded by one transaction under the leader's guard, once every controller in the settings has
// announced the new level. From then on the formats of the new level are written; the former formats are read until the
// end of the migration is durable.
//
// The package owns the keys under h/r/. It does no I/O, has no clock and starts no goroutine: the controller's
// event loop passes in changed keys and times, and sends the transactions that Tick and Execute return under the
// leader's guard. The package neither elects a leader nor migrates records itself.
package rollout

// Package jobs holds submitted jobs and their progress: job specifications and their wire form, the stored job records,
// the table of all jobs with the state that users see, the state machine of each task, and the durable plan that names
// the machine of each task.
//
// The package does no I/O, has no clock and starts no goroutine. The controller's event loop owns the Table and every
// Job in it, and passes in records, versions and times. The package doesn't decide where a task runs (see packages
// planner and fleet). It encodes and decodes the values in the state service, but doesn't write them there.
//
// A time of type time.Duration is a reading of the controller's monotonic clock: the time since the process started.
package jobs

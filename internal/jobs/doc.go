// Package jobs owns what users have submitted and how far it has come: job specifications and their wire form, the
// stored job records, the table of all jobs with the state that users see, the state machine of each task, and the
// durable plan that names the machine of each task.
//
// The package does no I/O, has no clock and starts no goroutine. The controller's event loop owns the Table and every
// Job in it; records, versions and times are passed in. It never decides where a task runs (see packages planner
// and fleet), and it never writes to the state service: it only encodes and decodes what is stored there.
//
// Times of type time.Duration are on the controller's monotonic clock, counted from the start of its process.
package jobs

package peers

import (
	"fmt"

	flatbuffers "github.com/google/flatbuffers/go"

	"github.com/harewalk/harewalk/internal/peers/wire"
)

// MaxJobCounts is the maximum number of jobs in a status. A status with so many jobs fits into a frame, even if all job
// IDs have the maximum length.
const MaxJobCounts = 4096

// JobCount is the number of done and of running tasks of one job, as shown to users.
type JobCount struct {
	Job           string
	Done, Running uint32
}

// Status is the state that a controller reports to its peers.
type Status struct {
	Node                  string
	Term                  uint64
	Leading               bool
	StateServiceReachable bool   // the state service answers the controller
	ForeignHeartbeats     uint32 // recent heartbeats from workers whose owner is another controller
	Draining              bool   // the controller is draining
	Counts                []JobCount
}

// Initial size of the buffer that a status is encoded into.
const (
	statusBufferBytes = 256
	countBufferBytes  = 48 // added for each JobCount
)

// Encode returns the content of a frame that carries the status.
func Encode(status Status) []byte {
	builder := flatbuffers.NewBuilder(statusBufferBytes + countBufferBytes*len(status.Counts))
	counts := encodeCounts(builder, status.Counts)
	node := builder.CreateString(status.Node)
	wire.StatusStart(builder)
	wire.StatusAddNode(builder, node)
	wire.StatusAddTerm(builder, status.Term)
	wire.StatusAddLeading(builder, status.Leading)
	wire.StatusAddStateOk(builder, status.StateServiceReachable)
	wire.StatusAddWorkers(builder, status.ForeignHeartbeats)
	wire.StatusAddCounts(builder, counts)
	wire.StatusAddLeaving(builder, status.Draining)
	builder.Finish(wire.StatusEnd(builder))
	return builder.FinishedBytes()
}

// encodeCounts writes the vector of job counts to the builder and returns its offset.
func encodeCounts(builder *flatbuffers.Builder, counts []JobCount) flatbuffers.UOffsetT {
	offsets := make([]flatbuffers.UOffsetT, len(counts))
	for i, count := range counts {
		job := builder.CreateString(count.Job)
		wire.JobCountStart(builder)
		wire.JobCountAddJob(builder, job)
		wire.JobCountAddDone(builder, count.Done)
		wire.JobCountAddRunning(builder, count.Running)
		offsets[i] = wire.JobCountEnd(builder)
	}
	wire.StatusStartCountsVector(builder, len(offsets))
	for i := len(offsets) - 1; i >= 0; i-- {
		builder.PrependUOffsetT(offsets[i])
	}
	return builder.EndVector(len(offsets))
}

// minStatusBytes is the number of bytes that the accessors read of any status.
const minStatusBytes = 8

// Decode decodes the content of a frame. FlatBuffers doesn't check offsets: if an offset is out of bounds, an accessor
// panics, and Decode recovers. The error is errFrameTooShort or wraps errInvalidFrame.
func Decode(raw []byte) (status Status, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %v", errInvalidFrame, cause)
		}
	}()
	if len(raw) < minStatusBytes {
		return Status{}, errFrameTooShort
	}
	encoded := wire.GetRootAsStatus(raw, 0)
	status = Status{
		Node:                  string(encoded.Node()),
		Term:                  encoded.Term(),
		Leading:               encoded.Leading(),
		StateServiceReachable: encoded.StateOk(),
		ForeignHeartbeats:     encoded.Workers(),
		Draining:              encoded.Leaving(),
	}
	length := encoded.CountsLength()
	if length < 0 || length > len(raw)/4 { // each job count takes an offset of four bytes
		return Status{}, fmt.Errorf("%w: %d job counts exceed the frame", errInvalidFrame, length)
	}
	for i := range length {
		var count wire.JobCount
		if encoded.Counts(&count, i) {
			status.Counts = append(status.Counts, JobCount{string(count.Job()), count.Done(), count.Running()})
		}
	}
	return status, nil
}

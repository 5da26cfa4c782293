package peers

import (
	"fmt"

	flatbuffers "github.com/google/flatbuffers/go"

	"github.com/harewalk/harewalk/internal/peers/wire"
)

// MaxJobCounts is the maximum number of jobs in a status. With ids of the greatest length they fit a frame.
const MaxJobCounts = 4096

// JobCount is the number of tasks of one job that are done and running, as users see them.
type JobCount struct {
	Job           string
	Done, Running uint32
}

// Status is one controller's state as it reports it.
type Status struct {
	Node                  string
	Term                  uint64
	Leading               bool
	StateServiceReachable bool   // the state service answers it
	ForeignHeartbeats     uint32 // lately received of workers whose owner is another controller
	Leaving               bool   // it drains
	Counts                []JobCount
}

// Sizes of the buffer that a status is first encoded into.
const (
	statusBufferBytes = 256
	countBufferBytes  = 48 // for each count
)

// Encode returns the content of a frame with a status.
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
	wire.StatusAddLeaving(builder, status.Leaving)
	builder.Finish(wire.StatusEnd(builder))
	return builder.FinishedBytes()
}

// encodeCounts writes the vector of counts and returns its offset.
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

// minStatusBytes is the least that the accessors of a status read.
const minStatusBytes = 8

// Decode reads the content of a frame. FlatBuffers checks no offsets, so a frame that makes its accessors run out of
// bounds panics there. The error is errShortFrame or wraps errBrokenFrame.
func Decode(raw []byte) (status Status, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("%w: %v", errBrokenFrame, cause)
		}
	}()
	if len(raw) < minStatusBytes {
		return Status{}, errShortFrame
	}
	encoded := wire.GetRootAsStatus(raw, 0)
	status = Status{
		Node:                  string(encoded.Node()),
		Term:                  encoded.Term(),
		Leading:               encoded.Leading(),
		StateServiceReachable: encoded.StateOk(),
		ForeignHeartbeats:     encoded.Workers(),
		Leaving:               encoded.Leaving(),
	}
	length := encoded.CountsLength()
	if length < 0 || length > len(raw)/4 { // each count has an offset of four bytes
		return Status{}, fmt.Errorf("%w: %d counts", errBrokenFrame, length)
	}
	for i := range length {
		var count wire.JobCount
		if encoded.Counts(&count, i) {
			status.Counts = append(status.Counts, JobCount{string(count.Job()), count.Done(), count.Running()})
		}
	}
	return status, nil
}

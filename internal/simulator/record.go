package simulator

// transmissionKind tells what a message on the simulated network is.
type transmissionKind string

const (
	kindRequest transmissionKind = "request"
	kindAnswer  transmissionKind = "answer"
	kindStatus  transmissionKind = "status" // of one controller to another
)

// Senders of requests that have no address of their own.
const (
	senderUser = "user"
	senderCopy = "copy" // the network, which delivers a request once more
)

// transmission is one message as its sender hands it to the simulated network, whether or not it arrives. In an
// answer, method and path are those of its request.
type transmission struct {
	kind         transmissionKind
	from, to     string
	method, path string
	status       int // of an answer
	body         []byte
}

// sent tells the recorder, if there is one, of a message. Nothing in the simulation depends on it.
func (s *Sim) sent(t transmission) {
	if s.record != nil {
		s.record(t)
	}
}

// target is a request's path with its query, whose parameters are sorted by name.
func (q request) target() string {
	if len(q.query) == 0 {
		return q.path
	}
	return q.path + "?" + q.query.Encode()
}

func requestTo(addr string, q request) transmission {
	return transmission{kind: kindRequest, from: q.from, to: addr, method: q.method, path: q.target(), body: q.body}
}

func answerFrom(addr string, q request, status int, body []byte) transmission {
	return transmission{
		kind: kindAnswer, from: addr, to: q.from, method: q.method, path: q.target(),
		status: status, body: body,
	}
}

func statusTo(node, from string, body []byte) transmission {
	return transmission{kind: kindStatus, from: from, to: node, body: body}
}

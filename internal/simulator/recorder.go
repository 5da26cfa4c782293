package simulator

// messageKind tells what a message on the simulated network is.
type messageKind string

const (
	kindRequest messageKind = "request"
	kindAnswer  messageKind = "answer"
	kindStatus  messageKind = "status" // of one controller to another
)

// Senders of requests that have no address of their own.
const (
	senderUser      = "user"
	senderDuplicate = "copy" // the network, which delivers a request once more
)

// message is one message as its sender hands it to the simulated network, whether or not it arrives. In an
// answer, method and path are those of its request.
type message struct {
	kind         messageKind
	from, to     string
	method, path string
	status       int // of an answer
	body         []byte
}

// recordMessage tells the recorder, if there is one, of a message. Nothing in the simulation depends on it.
func (s *virtualTime) recordMessage(t message) {
	if s.recorder != nil {
		s.recorder(t)
	}
}

// target is a request's path with its query, whose parameters are sorted by name.
func (q httpRequest) target() string {
	if len(q.query) == 0 {
		return q.path
	}
	return q.path + "?" + q.query.Encode()
}

func requestTo(addr string, request httpRequest) message {
	return message{kind: kindRequest, from: request.sender, to: addr, method: request.method, path: request.target(), body: request.body}
}

func answerFrom(addr string, request httpRequest, status int, body []byte) message {
	return message{
		kind: kindAnswer, from: addr, to: request.sender, method: request.method, path: request.target(),
		status: status, body: body,
	}
}

func statusTo(node, from string, body []byte) message {
	return message{kind: kindStatus, from: from, to: node, body: body}
}

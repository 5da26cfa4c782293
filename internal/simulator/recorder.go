package simulator

// messageKind is the kind of a message on the simulated network.
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

// message is one message as its sender hands it to the simulated network, whether or not it arrives. In an answer,
// method and path are those of its request.
type message struct {
	kind         messageKind
	from, to     string
	method, path string
	status       int // of an answer
	body         []byte
}

// recordMessage passes a message to the recorder, if there is one. Nothing in the simulation depends on it.
func (env *virtualTime) recordMessage(m message) {
	if env.recorder != nil {
		env.recorder(m)
	}
}

func requestTo(addr string, request httpRequest) message {
	return message{
		kind:   kindRequest,
		from:   request.sender,
		to:     addr,
		method: request.method,
		path:   request.target(),
		body:   request.body,
	}
}

func answerFrom(addr string, request httpRequest, status int, body []byte) message {
	return message{
		kind:   kindAnswer,
		from:   addr,
		to:     request.sender,
		method: request.method,
		path:   request.target(),
		status: status,
		body:   body,
	}
}

func statusTo(node, from string, body []byte) message {
	return message{kind: kindStatus, from: from, to: node, body: body}
}

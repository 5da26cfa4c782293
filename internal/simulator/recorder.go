package simulator

// messageKind is the kind of a message on the simulated network.
type messageKind string

const (
	kindRequest messageKind = "request"
	kindAnswer  messageKind = "answer"
	kindStatus  messageKind = "status" // status message between controllers
)

// Senders of requests that have no address.
const (
	senderUser      = "user"
	senderDuplicate = "copy" // the network, which delivers a request a second time
)

// message is one message at the time when it is sent over the simulated network. It may be lost later.
type message struct {
	kind         messageKind
	from, to     string
	method, path string // method and path of the request; an answer has those of its request
	status       int    // HTTP status of an answer, 0 otherwise
	body         []byte
}

// recordMessage passes a message to the recorder, if there is one. The recorder has no influence on the simulation.
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

package gladesend

import (
	"net/http"
	"strings"
	"time"
)

// NoEvent is the last event of a stream that has none.
const NoEvent = -1

// Call is a client's request as it was read.
type Call struct {
	// ID identifies this attempt of the client.
	ID  string
	Key string
	// TimeLeft is how long the client waits, if Limited.
	TimeLeft time.Duration
	Limited  bool
	// LastEvent is the last event that the client has, or NoEvent.
	LastEvent int64
	// PromptTokens is the size of the prompt that the client gives, zero for plain services.
	PromptTokens int
	// OutputTokens is the most that the client lets the answer have, OutputHint what it expects, zero if it does not.
	OutputTokens, OutputHint int
	// Session identifies the last part of the prompt.
	Session string
	// Header holds what goes on unchanged.
	Header http.Header

	Method string
	// Target is the path and query as they were sent.
	Target string
	Host   string
	Body   []byte
}

// SessionOf brings the identifier of a prompt's part into the form in which it is compared.
func SessionOf(part string) string {
	return strings.ToLower(strings.TrimLeft(strings.TrimSpace(part), "0"))
}

// Send is what one send of a call adds.
type Send struct {
	// Server is the identifier and Address the place of the backend server.
	Server, Address string
	Organisation    string
	// Left is how long the server may work, if Limited.
	Left      time.Duration
	Limited   bool
	LastEvent int64
	// Urgency tells which requests go first on a server, zero before all others, if Ranked.
	Urgency int
	Ranked  bool
	// Copy is the address of the server that receives a copy of the run's memory, if any.
	Copy string
	// From names the copy to go on from, if any.
	From string
	// Fresh asks for a new connection, so that the server cannot have closed it meanwhile.
	Fresh bool
}

// Mark is what an answer says of itself.
type Mark struct {
	// ID is the request that the answer belongs to.
	ID string
	// Sealed tells that the server signed the answer.
	Sealed bool
	// NotRun tells that the server did not and will not run the request.
	NotRun bool
	// Encoded tells that the body is not in the server's own encoding.
	Encoded bool
}

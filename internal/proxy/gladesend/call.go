package gladesend

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladememory"
)

// NoEvent is the event number of a stream that has no events yet.
const NoEvent = -1

// MaxParts is the largest number of parts of a prompt that a Call names.
const MaxParts = 256

// Call is a client's request, decoded from its header.
type Call struct {
	// ID identifies this attempt of the client.
	ID string
	// Key is the client's access key.
	Key string
	// TimeLeft is how long the client waits for the answer, counted from the receipt of the request.
	TimeLeft time.Duration
	// HasTimeLimit reports whether the client set a time limit.
	HasTimeLimit bool
	// LastEvent is the number of the last event that the client received, or NoEvent.
	LastEvent int64
	// PromptTokens is the length of the prompt as reported by the client, zero for services without prompts.
	PromptTokens int
	// OutputTokens is the maximum length of the answer in tokens.
	OutputTokens int
	// OutputHint is the length of the answer that the client expects, in tokens; zero means unknown.
	OutputHint int
	// Session identifies the last part of the prompt in its normalised form.
	Session string
	// Parts identify the parts of the prompt that requests share, in order: all but the last, MaxParts at most.
	Parts []uint64
	// Prefix lists all parts of the prompt with their numbers of tokens, in order, MaxParts at most.
	Prefix []PrefixPart
	// Header holds the headers that are forwarded unchanged.
	Header http.Header

	Method string
	// Target is the path and query of the request line, not decoded.
	Target string
	Host   string
	Body   []byte
	// Hold counts the memory of the call and of its answers; nil counts nothing.
	Hold *gladememory.Hold
}

// PrefixPart is a part of a prompt, by its PartID.
type PrefixPart struct {
	ID uint64
	// Tokens is the number of tokens, zero if the client names none that can be used.
	Tokens int
}

// NormaliseSession normalises the identifier of a prompt part for comparison: lower case, without surrounding space and
// leading zeros.
func NormaliseSession(part string) string {
	return strings.ToLower(strings.TrimLeft(strings.TrimSpace(part), "0"))
}

// PartID returns the number by which a prompt part is known, from its identifier in hexadecimal. Identifiers that are no such
// number of 64 bits are hashed.
func PartID(part string) uint64 {
	normalised := NormaliseSession(part)
	if n, err := strconv.ParseUint(normalised, 16, 64); err == nil {
		return n
	}
	return xxhash.Sum64String(normalised)
}

// SendParams holds the parameters of one send of a Call.
type SendParams struct {
	// Server is the identifier of the backend server.
	Server string
	// Started is the start time of the backend server as the store lists it, in Unix milliseconds.
	Started int64
	// Address is the network address of the backend server.
	Address string
	// Organisation is the name of the organisation that owns the client's key.
	Organisation string
	// TimeLeft is how long the server may work on the request.
	TimeLeft time.Duration
	// HasTimeLimit reports whether there is such a time limit.
	HasTimeLimit bool
	// LastEvent is the number of the last event that the client received, or NoEvent.
	LastEvent int64
	// Urgency orders the requests on a server; zero is the most urgent.
	Urgency int
	// HasUrgency reports whether the server is sent an urgency.
	HasUrgency bool
	// CopyAddress is the address of the server that receives a copy of the run's memory, or empty.
	CopyAddress string
	// ResumeFrom is the name of the copy from which the run resumes, or empty.
	ResumeFrom string
	// NewConnection requests a new connection, because the server may have closed an idle one.
	NewConnection bool
	// Repeat reports that the call was sent before.
	Repeat bool
}

// cause returns the cause of a connection that is opened for the send.
func (s *SendParams) cause() Cause {
	if s.Repeat {
		return CauseRetry
	}
	return CauseRequest
}

// AnswerInfo is what the headers of an answer state about it.
type AnswerInfo struct {
	// ID identifies the request that the answer belongs to.
	ID string
	// Signed reports whether the server signed the answer.
	Signed bool
	// NotRun reports that the server did not run the request and will not run it.
	NotRun bool
	// Instance is the identifier of the server that has the address now, set by one that the request was not for.
	Instance string
	// Encoded reports that the body is not in the server's own encoding.
	Encoded bool
	// Limits are the limits that the server names, in requests per second, as it wrote them.
	Limits []string
	// Leaving reports that the server says that it leaves.
	Leaving bool
	// RetryAfter holds the backoffs that the server asks for, in seconds, as it wrote them.
	RetryAfter []string
	// Load is what the server says of its load; the zero value means that it says nothing that can be used.
	Load ServerLoad
}

// ServerLoad is what a server says of its load.
type ServerLoad struct {
	// Running and Waiting are numbers of requests on the server, and Slots is how many it runs at once.
	Running, Waiting, Slots int
	// WorkPercent is how long work takes there at the moment, in percent of the usual time, zero if it does not say.
	WorkPercent float64
}

// AnswerHead is the head of an answer as it was received.
type AnswerHead struct {
	// Server is the identifier of the server that the request was sent to, and Started its start time.
	Server  string
	Started int64
	Status  int
	Info    AnswerInfo
	// SentAt is when the request was sent, zero for a late answer to an earlier request on the connection.
	SentAt time.Time
	// At is when the head was received.
	At time.Time
}

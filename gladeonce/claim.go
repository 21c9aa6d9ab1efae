package gladeonce

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
)

// KindClaims is the kind of object that holds claims.
const KindClaims = "claims"

// shardDigits is the number of hexadecimal digits of a claim's name that name its shard.
const shardDigits = 3

// Call is what one key stands for.
type Call struct {
	Organisation string
	Route        string
	Key          string
	// Body is the hash of all that the call consists of.
	Body string
}

// HashBody returns the hash of a call's method, path and body.
func HashBody(method, path string, body []byte) string {
	h := sha256.New()
	_, _ = h.Write([]byte(method + "\n" + path + "\n"))
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Name returns the name of the call's claim.
func (c *Call) Name() string {
	h := sha256.Sum256([]byte(c.Organisation + "\x00" + c.Route + "\x00" + c.Key))
	return hex.EncodeToString(h[:])
}

// Outcome is the answer of a call that ran.
type Outcome struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Dropped says that the body was too large to be kept.
	Dropped bool `json:"dropped,omitempty"`
}

// Send makes the call; a Refusal that it returns says whether the call ran.
type Send func(context.Context) (*Outcome, error)

// State is how far the call of a key is, as one VM or a claim tells it.
type State string

// The states of a key.
const (
	// StateNone means that nothing is known of the key.
	StateNone State = "none"
	// StateClaimed means that the holder may be sending the call.
	StateClaimed State = "claimed"
	// StateReleased means that the call was not and will not be sent under this nonce.
	StateReleased State = "released"
	// StateDone means that the call ran and its outcome is known.
	StateDone State = "done"
	// StateUnknown means that the call may have run.
	StateUnknown State = "unknown"
)

// Claim is the value of a claim's object.
type Claim struct {
	State State  `json:"state"`
	Nonce string `json:"nonce"`
	// VM and Incarnation name the holder.
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	Body        string `json:"body"`
	// Claimed and Until are by the holder's wall clock; Until is when its call ends at the latest.
	Claimed time.Time `json:"claimed"`
	Until   time.Time `json:"until"`
	Outcome *Outcome  `json:"outcome,omitempty"`
}

func unknown(message string) *gladeapi.Refusal {
	return &gladeapi.Refusal{
		Status: http.StatusConflict, Code: gladeapi.CodeOutcomeUnknown, Ran: gladeapi.Unknown, Message: message,
	}
}

func keyReused() *gladeapi.Refusal {
	return &gladeapi.Refusal{
		Status: http.StatusUnprocessableEntity, Code: gladeapi.CodeKeyReused, Ran: gladeapi.NotRun,
		Message: "the idempotency key was used with another body", Field: "Idempotency-Key",
	}
}

func dropped() *gladeapi.Refusal {
	return &gladeapi.Refusal{
		Status: http.StatusConflict, Code: gladeapi.CodeTooLarge, Ran: gladeapi.DidRun,
		Message: "the call ran, but its answer was too large to be kept",
	}
}

// replay returns a kept outcome as the answer to a repeat.
func replay(o *Outcome) (*Outcome, error) {
	if o == nil {
		return nil, unknown("the call ran or failed; its answer was not kept")
	}
	if o.Dropped {
		return nil, dropped()
	}
	return o, nil
}

// kept returns the outcome without a body that is too large to be kept.
func kept(o *Outcome, limit int) *Outcome {
	if o == nil || len(o.Body) <= limit {
		return o
	}
	return &Outcome{Status: o.Status, Header: o.Header, Dropped: true}
}

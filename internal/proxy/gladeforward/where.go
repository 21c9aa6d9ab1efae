package gladeforward

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladequota"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

// maxExplained is the number of servers in an explanation.
const maxExplained = 20

// Query describes a request whose way is to be explained.
type Query struct {
	// Call holds the request's host, target, key, tokens and prefix. Its identifier chooses the service of a split route; without
	// one it is the service with the greatest weight.
	Call gladesend.Call
	// Repeat marks a repeat, a second send or a resumed run.
	Repeat bool
}

// Where explains where a request would go now. Times are in milliseconds.
type Where struct {
	Release int64  `json:"release"`
	Route   string `json:"route"`
	Kind    string `json:"kind"`
	Service string `json:"service"`
	// Shares are the services of a route that is split between several.
	Shares       []gladerelease.Share `json:"shares,omitempty"`
	Organisation string               `json:"organisation,omitempty"`
	Priority     int                  `json:"priority"`
	TargetMS     int64                `json:"targetMs"`
	// Stopping reports that this VM is stopping, so that it may refuse a request that it cannot finish.
	Stopping bool `json:"stopping,omitempty"`
	// Decision is what the request would meet: WhereSend, WhereWait or WhereRefuse. Reason says why.
	Decision string `json:"decision"`
	Reason   string `json:"reason"`
	// RetryAfterMS is the middle or, while all servers are in backoff, the least value told to a refused caller.
	RetryAfterMS int64      `json:"retryAfterMs,omitempty"`
	Queue        *QueueView `json:"queue,omitempty"`
	Versions     *RuleView  `json:"versions,omitempty"`
	// RetriesLeft is the retry budget of the service, of which one is used by each repeat.
	RetriesLeft float64            `json:"retriesLeft"`
	Servers     []ServerView       `json:"servers"`
	MoreServers int                `json:"moreServers,omitempty"`
	Limits      []gladequota.State `json:"limits,omitempty"`
}

// The decisions of an explanation.
const (
	WhereSend   = "send"
	WhereWait   = "wait"
	WhereRefuse = "refuse"
)

// QueueView is what the queue of the service says to a generation.
type QueueView struct {
	Waiting int `json:"waiting"`
	// Ahead is the number of waiting requests that precede it.
	Ahead     int   `json:"ahead"`
	MaxWaitMS int64 `json:"maxWaitMs"`
	// Exceeded reports that it would be refused at once if it had to wait.
	Exceeded bool `json:"exceeded"`
}

// RuleView is the version rule that the next such request gets.
type RuleView struct {
	Only        string  `json:"only,omitempty"`
	Except      string  `json:"except,omitempty"`
	Fallback    bool    `json:"fallback,omitempty"`
	Concentrate float64 `json:"concentrate,omitempty"`
}

// ServerView is one server as the choice sees it.
type ServerView struct {
	ID             string      `json:"id"`
	FailureDomain  string      `json:"failureDomain"`
	Version        string      `json:"version,omitempty"`
	Health         string      `json:"health,omitempty"`
	Excluded       string      `json:"excluded,omitempty"`
	Runs           int         `json:"runs"`
	PeerRuns       int         `json:"peerRuns"`
	Slots          int         `json:"slots"`
	PendingPrefill int         `json:"pendingPrefill"`
	UsedMemory     int         `json:"usedMemory"`
	Stated         *StatedView `json:"stated,omitempty"`
	Held           *PrefixView `json:"held,omitempty"`
	Cost           float64     `json:"cost"`
}

// StatedView is a server's last statement about its load.
type StatedView struct {
	Running     int     `json:"running"`
	Waiting     int     `json:"waiting"`
	Slots       int     `json:"slots"`
	WorkPercent float64 `json:"workPercent,omitempty"`
	AgeMS       int64   `json:"ageMs"`
}

// PrefixView is what this VM's requests have left of the prompt on a server, and which part of that is expected to be held still.
type PrefixView struct {
	Tokens      int     `json:"tokens"`
	Probability float64 `json:"probability"`
}

// WhereError is why the way of a request cannot be explained. Status is the HTTP status of the answer.
type WhereError struct {
	Status int
	Reason string
}

// Error returns the reason.
func (e *WhereError) Error() string { return e.Reason }

// Explain returns where a request would go now and why. It sends nothing, reserves nothing and counts nothing. It does not know the
// body, so that requests that crashed servers are not recognised, and it does not ask coordinators of limits or other servers.
func (f *Forwarder) Explain(q Query) (*Where, error) {
	j := &job{Forwarder: f, call: q.Call, release: f.config.Release()}
	if j.release == nil {
		return nil, &WhereError{http.StatusServiceUnavailable, "this VM has no release that it can use"}
	}
	if refused := j.resolve(); refused != nil {
		return nil, &WhereError{refused.status, fmt.Sprintf("release %d: %s", j.release.Version, refused.reason)}
	}
	j.service = j.route.Service(j.call.ID)
	if j.call.ID == "" {
		j.service = heaviest(j.route.Shares)
	}
	timeout := j.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	now := time.Now()
	j.capDeadline(now.Add(timeout))
	s := &stream{job: j}
	need := gladefleet.Requirements{Service: j.service}
	if j.route.Kind == gladerelease.Stream {
		need = s.requirements(s.roomLimits())
		need.Waiting = true
	}
	w := &Where{
		Release: j.release.Version, Route: j.route.Name, Kind: j.route.Kind.String(), Service: j.service, Organisation: j.organisation,
		Priority: j.rank(), TargetMS: j.route.Target.Milliseconds(), Stopping: f.config.StopPlan() != nil,
	}
	if len(j.route.Shares) > 1 {
		w.Shares = j.route.Shares
	}
	if f.config.PeekVersions != nil {
		need.Versions = f.config.PeekVersions(j.service, j.route.Name, q.Repeat)
		if need.Versions != (gladefleet.VersionRule{}) {
			rule := RuleView(need.Versions)
			w.Versions = &rule
		}
	}
	x := f.config.Fleet.Explain(need, maxExplained, now)
	if len(x.Candidates) == 0 {
		return nil, &WhereError{http.StatusUnprocessableEntity, fmt.Sprintf("release %d: service %q of route %s has no server", j.release.Version, j.service, j.route.Name)}
	}
	w.RetriesLeft = f.config.Budget.Remaining(j.service, now)
	w.MoreServers = x.More
	w.setServers(x.Candidates, need.Prefix != nil)
	w.setLimits(f.config.Limits)
	if j.route.Kind == gladerelease.Stream {
		s.explainQueue(w, need, now)
	}
	s.explainDecision(w, x)
	return w, nil
}

// heaviest returns the service with the greatest weight, empty if no weight is positive.
func heaviest(shares []gladerelease.Share) string {
	best := gladerelease.Share{}
	for _, s := range shares {
		if s.Weight > best.Weight {
			best = s
		}
	}
	return best.Service
}

// explainQueue sets what the queue says.
func (s *stream) explainQueue(w *Where, need gladefleet.Requirements, now time.Time) {
	wait := s.maxWait()
	w.Queue = &QueueView{MaxWaitMS: wait.Milliseconds()}
	s.mu.Lock()
	queue := s.queues[s.service]
	s.mu.Unlock()
	if queue != nil {
		r := s.queueRequest(need)
		w.Queue.Waiting, w.Queue.Ahead, w.Queue.Exceeded = queue.Len(), queue.Ahead(r), queue.ExceedsWait(r, wait, now)
	}
}

// explainDecision sets what the request would meet, as waitForPlace, start and refuseUnplaced decide it.
func (s *stream) explainDecision(w *Where, x gladefleet.Explanation) {
	behind := w.Queue != nil && w.Queue.Waiting > 0
	waits, retryAfter := false, noServerRetryAfter
	backoff, inBackoff := errors.AsType[*gladefleet.BackoffError](x.Err)
	switch {
	case x.Err == nil && !behind:
		w.Decision, w.Reason = WhereSend, x.Reason
		return
	case x.Err == nil:
		w.Reason, waits, retryAfter = "other requests wait", !w.Queue.Exceeded, s.meanFullRetryAfter()
	case errors.Is(x.Err, gladefleet.ErrFull):
		w.Reason, waits, retryAfter = gladefleet.ErrFull.Error(), w.Queue != nil && !w.Queue.Exceeded, s.meanFullRetryAfter()
	case inBackoff:
		w.Reason, retryAfter = backoff.Error(), backoffRetryAfter(backoff.Until)
		if w.Queue != nil {
			waits = s.hasRoomSoon(x.Err) && !w.Queue.Exceeded
		} else {
			_, waits = s.limitWait(x.Err)
		}
	default:
		w.Reason = gladefleet.ErrNoServer.Error()
	}
	w.Decision = WhereWait
	if !waits {
		w.Decision, w.RetryAfterMS = WhereRefuse, retryAfter.Milliseconds()
	}
}

// setServers sets the servers; weighed reports that the value of a held prefix is weighed.
func (w *Where) setServers(candidates []gladefleet.Candidate, weighed bool) {
	w.Servers = make([]ServerView, 0, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		v := ServerView{
			ID: c.ID, FailureDomain: c.FailureDomain, Version: c.Version, Health: c.Health, Excluded: string(c.Excluded), Runs: c.Runs,
			PeerRuns: c.PeerRuns, Slots: c.Slots, PendingPrefill: c.PendingPrefill, UsedMemory: c.UsedMemory,
			Cost: max(0, c.Cost),
		}
		if c.StatedAge >= 0 {
			v.Stated = &StatedView{
				Running: c.Stated.Running, Waiting: c.Stated.Waiting, Slots: c.Stated.Slots, WorkPercent: c.Stated.WorkPercent,
				AgeMS: c.StatedAge.Milliseconds(),
			}
		}
		if weighed {
			v.Held = &PrefixView{Tokens: c.HeldTokens, Probability: c.HeldProbability}
		}
		w.Servers = append(w.Servers, v)
	}
}

// setLimits sets the limits that the servers in the explanation name.
func (w *Where) setLimits(l Limits) {
	if l.States == nil {
		return
	}
	named := map[string]gladequota.State{}
	for _, state := range l.States() {
		if state.Named {
			named[state.Server.ID] = state
		}
	}
	for i := range w.Servers {
		if state, ok := named[w.Servers[i].ID]; ok {
			w.Limits = append(w.Limits, state)
		}
	}
}

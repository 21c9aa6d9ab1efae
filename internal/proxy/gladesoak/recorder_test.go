package gladesoak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// answer is what a caller received for one attempt.
type answer struct {
	id, kind string
	status   int
	// complete is set if the answer was read to its end without an error.
	complete bool
	body     string
	// owner is the attempt whose identifier the answer carries.
	owner    string
	sent     time.Time
	duration time.Duration
	limit    time.Duration
	// notKilled is set if the VM had no fault other than a planned stop while it answered.
	notKilled bool
	// undisturbed is set if the VM had no fault while it answered.
	undisturbed bool
}

// recorder records the requests that ran and the answers that callers received.
type recorder struct {
	mu           sync.Mutex
	runs         map[string]int  // by attempt
	completed    map[string]bool // attempts whose server wrote its whole answer
	answers      []answer
	lateRequests []string // requests that reached a leaving server
	violations   []string
	// checks counts the answers that were compared with the releases that may be in force.
	checks int
	// vms are the VMs that attempts were sent to.
	vms map[string]*vm
	// exchanges are the requests of connCallers.
	exchanges []exchange
	// endedByServer are the attempts that a server ended without a whole answer, and invalid those that one answered with an invalid status.
	endedByServer, invalid map[string]bool
	// leastIdle is the least idle timeout of all releases, zero for none.
	leastIdle time.Duration
	// crowded reports that VMs may close connections for new ones.
	crowded bool
}

// isStream reports whether the request asks for a stream of events.
func (a *answer) isStream() bool { return a.kind == "stream" || a.kind == "unsafeStream" }

func newRecorder() *recorder {
	return &recorder{runs: map[string]int{}, completed: map[string]bool{}, vms: map[string]*vm{}, endedByServer: map[string]bool{}, invalid: map[string]bool{}}
}

func (r *recorder) recordVM(id string, v *vm) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vms[id] = v
}

func (r *recorder) vm(id string) *vm {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.vms[id]
}

func (r *recorder) recordRun(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

func (r *recorder) recordEnd(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completed[id] = true
}

func (r *recorder) countCheck() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checks++
}

func (r *recorder) recordOldRelease(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, text)
}

func (r *recorder) recordAnswer(a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, a)
}

func (r *recorder) addViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// notRunStatuses are the statuses that promise that a request has not run.
var notRunStatuses = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// maxLateness is how much later than its limit an answer may arrive.
const maxLateness = 700 * time.Millisecond

// check returns the violated invariants.
func (r *recorder) check() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.answers {
		r.checkAnswer(a)
	}
	for _, id := range r.lateRequests {
		r.addViolation("%s reached a leaving server", id)
	}
	return r.violations
}

func (r *recorder) checkAnswer(a answer) {
	runs := r.runs[a.id]
	unsafe := strings.HasPrefix(a.kind, "unsafe")
	if unsafe && runs > 1 {
		r.addViolation("%s ran %d times", a.id, runs)
	}
	if unsafe && slices.Contains(notRunStatuses, a.status) && runs > 0 {
		r.addViolation("%s was answered %d and ran", a.id, a.status)
	}
	if a.status == http.StatusOK && a.owner != a.id {
		r.addViolation("%s got the answer to %q", a.id, a.owner)
	}
	if a.undisturbed && a.duration > a.limit+maxLateness {
		r.addViolation("%s was answered after %v, limit %v", a.id, a.duration, a.limit)
	}
	if a.status == http.StatusOK && !a.isStream() && a.complete && a.body != "answer to "+a.id {
		r.addViolation("%s got the body %q", a.id, a.body)
	}
	if a.notKilled && unsafe && r.completed[a.id] && !a.complete {
		r.addViolation("%s was interrupted by a planned stop", a.id)
	}
	if a.isStream() {
		r.checkStream(a)
	}
}

// checkStream compares the events of a stream with those of one uninterrupted run.
func (r *recorder) checkStream(a answer) {
	if a.status != http.StatusOK {
		return
	}
	want := fullStream(a.id)
	switch {
	case a.complete && a.body != want:
		r.addViolation("%s looks complete but has %d bytes of %d", a.id, len(a.body), len(want))
	case !strings.HasPrefix(want, a.body[:strings.LastIndex(a.body, "\n\n")+max(0, min(2, len(a.body)))]):
		r.addViolation("%s has events out of order", a.id)
	}
}

const streamEvents = 40

// streamEvent returns one event of the stream that answers an attempt.
func streamEvent(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s token %d\n\n", n, id, n)
}

func fullStream(id string) string {
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		b.WriteString(streamEvent(id, n))
	}
	return b.String()
}

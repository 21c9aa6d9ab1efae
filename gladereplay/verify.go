package gladereplay

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecaller"
	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladecluster"
)

// leavingGrace is the time within which every VM must stop sending new work to a leaving backend server.
const leavingGrace = 5 * time.Second

// verifyAll checks the invariants and then the expected outcomes.
func (r *replayer) verifyAll() {
	for _, e := range r.cluster.Engines {
		c := e.Engine.Counts()
		r.report.Work.Requests += c.Requests
		r.report.Work.PrefillTokens += c.PrefillTokens
		r.report.Work.Tokens += c.Tokens
	}
	for _, g := range r.report.Generations {
		r.report.Work.Delivered += g.Tokens
		r.verifyTokens(g)
		r.verifyNotRun(g.request.ID, g.answer.Tries)
		r.verifyStops(g.request.ID, g.request.DropAfter, g.answer.Tries)
	}
	for _, c := range r.report.Calls {
		r.verifyCall(c)
		r.verifyNotRun(c.request.ID, c.answer.Tries)
		r.verifyStops(c.request.ID, 0, c.answer.Tries)
	}
	r.verifyLeaving()
	for i := range r.trace.Events {
		if x := r.trace.Events[i].Expect; x != nil {
			r.checkExpectation(x)
		}
	}
}

// resolveTarget returns the target of a request's model: the model itself if it pins a version, else its version 1.
func (r *replayer) resolveTarget(model string) string {
	if model == "" {
		model = r.defaultModel()
	}
	if _, err := gladeapi.ParseTarget(model); err == nil {
		return model
	}
	return model + "@1"
}

func (r *replayer) verifyTokens(g *Generation) {
	err := gladecaller.NewExpectedAnswer(r.resolveTarget(g.request.Model), &g.request.Request).Verify(g.answer)
	switch {
	case err == nil:
	case errors.Is(err, gladecaller.ErrMissing), errors.Is(err, gladecaller.ErrRepeated), errors.Is(err, gladecaller.ErrUsage):
		r.fail(gladecheck.TokensOnce, g.request.ID, "%v", err)
	default:
		r.fail(gladecheck.OneGeneration, g.request.ID, "%v", err)
	}
}

// verifyNotRun checks that no request refused as not run reached a backend server.
func (r *replayer) verifyNotRun(id string, tries []gladecaller.Try) {
	for i := range tries {
		t := &tries[i]
		if t.Refusal == nil || t.Refusal.Ran != gladeapi.NotRun || t.From > 0 {
			continue
		}
		if slices.ContainsFunc(r.arrivals, func(a gladecluster.Arrival) bool { return a.RequestID == t.RequestID }) {
			r.fail(gladecheck.NotRunTrue, id, "%s was refused as not run (%v) but reached a backend server", t.RequestID, t.Refusal)
		}
	}
}

// verifyCall checks that an answer belongs to its call and that a non-idempotent call ran at most once.
func (r *replayer) verifyCall(c *CallResult) {
	done := c.Outcome == Whole && c.answer.Status == http.StatusOK
	if done && c.answer.Body != c.request.Body {
		r.fail(gladecheck.OwnAnswer, c.request.ID, "answer %q, want %q", c.answer.Body, c.request.Body)
	}
	if c.request.Key == "" || idempotentRoutes[c.request.Route] {
		return
	}
	runs := r.cluster.RunCounter.Runs()[c.request.Key]
	if runs > 1 {
		r.fail(gladecheck.AtMostOnce, c.request.ID, "key %s ran %d times", c.request.Key, runs)
	}
	if done && runs != 1 {
		r.fail(gladecheck.OwnAnswer, c.request.ID, "answered after %d runs of key %s", runs, c.request.Key)
	}
	if c.Ran == string(gladeapi.NotRun) && runs > 0 && len(c.answer.Tries) == 1 {
		r.fail(gladecheck.NotRunTrue, c.request.ID, "refused as not run after %d runs of key %s", runs, c.request.Key)
	}
}

// verifyStops checks that a VM stopped as planned, without a fault, interrupted no request.
func (r *replayer) verifyStops(id string, dropAfter int, tries []gladecaller.Try) {
	for i := range tries {
		t := &tries[i]
		cut := errors.Is(t.Err, gladecaller.ErrIncomplete) && !t.GaveUp && (dropAfter == 0 || i > 0)
		if cut && r.stopped[t.Entry] && !r.faulted[t.Entry] {
			r.fail(gladecheck.StopCutsNothing, id, "%s closed the connection while stopping: %v", t.Entry, t.Err)
		}
	}
}

// verifyLeaving checks that a leaving backend server received no new request after leavingGrace.
func (r *replayer) verifyLeaving() {
	for _, a := range r.arrivals {
		from, leaving := r.leavingSince[a.Backend+"/"+a.Incarnation]
		if leaving && a.At.After(from.Add(leavingGrace)) {
			r.fail(gladecheck.LeavingGetsNoWork, a.RequestID, "%s received the request %s after it was announced as leaving", a.Backend, a.At.Sub(from))
		}
	}
}

func (r *replayer) checkExpectation(x *Expect) {
	if x.Note != 0 {
		r.checkNote(x)
		return
	}
	if g := r.report.Generations[x.ID]; g != nil {
		r.checkOutcome(x, g.Outcome, g.answer.Refusal, g.Took.D())
		if x.Gap > 0 && g.LongestGap > x.Gap {
			r.fail("", x.ID, "longest gap between tokens %s, want %s", g.LongestGap.D(), x.Gap.D())
		}
		return
	}
	if c := r.report.Calls[x.ID]; c != nil {
		r.checkOutcome(x, c.Outcome, c.answer.Refusal, c.Took.D())
		if runs := r.cluster.RunCounter.Runs()[c.request.Key]; x.Runs != nil && runs != *x.Runs {
			r.fail("", x.ID, "ran %d times, want %d", runs, *x.Runs)
		}
		return
	}
	r.fail("", x.ID, "never ended")
}

func (r *replayer) checkOutcome(x *Expect, got Outcome, refusal *gladeapi.Refusal, took time.Duration) {
	if !slices.Contains(x.Outcome, got) {
		r.fail("", x.ID, "outcome %s (%v), want %v", got, refusal, x.Outcome)
	}
	if x.Within > 0 && took > x.Within.D() {
		r.fail("", x.ID, "took %s, want %s", took, x.Within.D())
	}
	if refusal == nil || got != Refused {
		return
	}
	if len(x.Codes) > 0 && !slices.Contains(x.Codes, refusal.Code) {
		r.fail("", x.ID, "refused with %v, want %v", refusal, x.Codes)
	}
	if x.Ran != "" && x.Ran != refusal.Ran {
		r.fail("", x.ID, "refused as %s, want %s", refusal.Ran, x.Ran)
	}
}

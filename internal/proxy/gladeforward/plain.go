package gladeforward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladememory"
	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladequota"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

const (
	// maxSends is the maximum number of sends of one request, including those that no server ran.
	maxSends = 4
	// hedgeShare is the share of a route's target time after which a repeatable request is sent to a second server.
	hedgeShare = 0.5
	// hedgeLinkCheckAge is how long this VM has received nothing from any server when it checks its own link before a second send.
	hedgeLinkCheckAge = 30 * time.Millisecond
	// hedgeHoldPause is how long before a second send the link is checked, and the time until one that was held back is considered again.
	hedgeHoldPause = 5 * time.Millisecond
	// minHedgeDelay is the minimum delay of that second send; ordinary answers arrive within it.
	minHedgeDelay = 30 * time.Millisecond
)

// errUnusableAnswer means that an answer is not signed by the server or not in the server's own encoding.
var errUnusableAnswer = eris.New("answer is not signed or encoded")

// answer is the result of one send of a plain request.
type answer struct {
	// sentAt is when the request was sent, by Config.BootTime.
	sentAt time.Time
	// began is the same by time.Now.
	began  time.Time
	server gladefleet.Server
	status int
	header http.Header
	mark   gladesend.AnswerInfo
	body   []byte
	err    error
	// lost is the run if it was lost.
	lost *trackedRun
}

// servePlain answers a request whose answer is a single body.
func (j *job) servePlain() {
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	answers := make(chan answer, maxSends)
	expired, stop := j.deadlineTimer()
	defer stop()
	running := 0
	var failure *answer
	hedge := j.hedgeTimer()
	if !j.checkSuspect() || !j.start(ctx, answers, &running) {
		return
	}
	for {
		select {
		case <-j.ctx.Done():
			j.logInterrupted("sends", j.sends)
			return
		case <-expired:
			j.failDeadline()
			return
		case <-hedge:
			if hedge = j.holdHedge(); hedge == nil {
				j.repeat(ctx, answers, &running)
			}
		case a := <-answers:
			running--
			if j.recordAnswer(&a, &failure) {
				j.reply(&a)
				return
			}
			j.awaitSlot(&a, running)
			if failure != &a {
				j.call.Hold.Shrink(cap(a.body))
				a.body = nil
			}
			if j.mayResend(&a) && j.repeat(ctx, answers, &running) || running > 0 {
				continue
			}
			j.giveUp(failure, a.err)
			return
		}
	}
}

// hedgeTimer returns a channel that fires shortly before the request should be sent to a second server, or nil if it should not.
func (j *job) hedgeTimer() <-chan time.Time {
	if j.route.Kind != gladerelease.Safe || j.route.Attempts < 2 || j.route.Target <= 0 || j.config.Suspects.Evidence(j.fingerprint).Deaths > 0 {
		return nil
	}
	return time.After(j.hedgeDelay() - hedgeHoldPause)
}

// hedgeDelay returns the time after which the request should be sent to a second server.
func (j *job) hedgeDelay() time.Duration {
	return max(minHedgeDelay, time.Duration(hedgeShare*float64(j.route.Target)))
}

// holdHedge returns a channel that fires when the second send should be considered again, or nil if it is due.  While nothing passes this
// VM's link it would be charged to the retry budget and not arrive.
func (j *job) holdHedge() <-chan time.Time {
	j.checkLink(j.firstServer, hedgeLinkCheckAge)
	if !j.hedgeConsidered {
		j.hedgeConsidered = true
		return time.After(hedgeHoldPause)
	}
	reason := j.reasonToHold(j.firstSentAt, j.hedgeDelay())
	if reason == holdNone || reason == holdBudget { // the budget is asked when it is sent
		return nil
	}
	if !j.hedgeHeld {
		j.hedgeHeld = true
		j.count("plain.held")
		j.log("Not sent to a second server.", "server", j.firstServer.ID, "reason", string(reason))
	}
	return time.After(hedgeHoldPause)
}

// start sends the request for the first time; it refuses the request and returns false if there is no server.
func (j *job) start(ctx context.Context, answers chan<- answer, running *int) bool {
	err := j.launch(ctx, answers, gladequota.Request{})
	if err != nil && j.waitForRoom(err) {
		err = j.launch(ctx, answers, gladequota.Request{})
	}
	switch {
	case err == nil:
		*running++
		return true
	case j.ctx.Err() != nil:
		j.logInterrupted("sends", j.sends)
	default:
		j.refuseUnplaced(err)
	}
	return false
}

// repeat sends the request to another server if the limits on attempts and the retry budget allow it.
func (j *job) repeat(ctx context.Context, answers chan<- answer, running *int) bool {
	if j.sends >= maxSends || j.mayHaveRun && j.sends >= max(1, j.route.Attempts) {
		return false
	}
	j.awaitClassification()
	if j.maySend() != nil || !j.tryRetry() {
		return false
	}
	if err := j.launch(ctx, answers, gladequota.Request{Repeat: *running > 0}); err != nil {
		j.unplaced = err
		return false
	}
	*running++
	return true
}

// launch sends the request to the best server in the background; it returns an error if there is no server.
func (j *job) launch(ctx context.Context, answers chan<- answer, r gladequota.Request) error {
	if err := j.checkStop(); err != nil {
		return err
	}
	place, err := j.reserve(gladefleet.Requirements{Service: j.service, Avoid: j.avoid, Versions: j.versionRule()}, r, nil)
	if err != nil {
		return err
	}
	s := j.newSend(place.Server)
	j.avoid = append(j.avoid, place.ID)
	if j.firstSentAt.IsZero() {
		j.firstSentAt, j.firstServer = time.Now(), place.Server
	}
	j.log("Sent.", append([]any{"server", place.ID, "reason", place.Reason, "send", j.sends, "leftMs", s.TimeLeft.Milliseconds(),
		"listed", place.Revision}, reportedFields(place)...)...)
	ctx, release := j.sendContext(ctx, place)
	ctx, cancel := context.WithCancelCause(ctx)
	tracked := j.trackRun(place, false, func() { cancel(gladesuspect.ErrPoison) })
	run := j.beginVersionRun(place, false)
	stopWatch := j.watchSilence(place)
	go func() {
		defer place.Release()
		defer release()
		defer cancel(nil)
		sentAt, began := j.config.BootTime(), time.Now()
		a := j.sendAndRead(ctx, s)
		a.sentAt, a.began = sentAt, began
		stopWatch()
		j.recordAnswerTime(ctx, &a, place.ID, time.Since(began))
		if a.err != nil && errors.Is(context.Cause(ctx), gladesuspect.ErrPoison) {
			a.err = gladesuspect.ErrPoison
		}
		switch {
		case errors.Is(a.err, gladesuspect.ErrPoison):
			tracked.end(runRefused)
		case a.err == nil && !notRun(&a) && a.status < http.StatusInternalServerError:
			tracked.end(runCompleted)
		case a.err == nil || ctx.Err() != nil || errors.Is(a.err, gladesend.ErrNotSent) || isNoRoom(a.err):
			tracked.end(runInconclusive)
		default:
			tracked.end(runLost)
			a.lost = tracked
		}
		run.endPlain(&a, ctx.Err() != nil)
		a.server = place.Server
		answers <- a
	}()
	return nil
}

// sendAndRead sends the request once and reads the complete answer.
func (j *job) sendAndRead(ctx context.Context, s *gladesend.SendParams) answer {
	x, err := j.config.Client.Do(ctx, &j.call, s)
	if err != nil {
		return answer{err: err}
	}
	defer x.Close()
	a := answer{status: x.Status, header: x.Header, mark: x.Info}
	a.body, a.err = x.ReadBody()
	switch {
	case a.err != nil || notRun(&a): // a server that does not run a request need not sign that
	case !a.mark.Signed || a.mark.Encoded:
		a.err = eris.Wrapf(errUnusableAnswer, "status %d, %d bytes", a.status, len(a.body))
	}
	return a
}

// recordAnswer records the result of a send and reports whether it is returned to the caller.  A failure answer that
// may be retried is stored in *failure.
func (j *job) recordAnswer(a *answer, failure **answer) bool {
	now := time.Now()
	if a.lost != nil {
		j.lost++
		j.lastLost = a.lost
	}
	switch {
	case errors.Is(a.err, gladesend.ErrNotSent):
		j.judgeUnsent(a.server, a.began, a.err)
		j.recordUnsent()
		j.log("Not sent.", "server", a.server.ID, "reason", a.err)
		return false
	case notRun(a):
		j.handleNotRun(a.server, a.status, a.mark.Instance)
		j.markFull(a)
		j.log("Server did not run it.", "server", a.server.ID, "status", a.status)
		return false
	case errors.Is(a.err, gladesuspect.ErrPoison):
		j.mayHaveRun = true
		j.log("Run ended.", "server", a.server.ID, "reason", a.err)
		return false
	case isNoRoom(a.err): // this says nothing about the server
		j.mayHaveRun = true
		j.log("No memory for the answer.", "server", a.server.ID, "reason", a.err)
		return false
	case a.err != nil:
		j.mayHaveRun = true
		j.recordFailure(a.server, a.err)
		j.probe(a.server, probeDue)
		j.log("Answer lost.", "server", a.server.ID, "reason", a.err)
		return false
	}
	j.mayHaveRun = true
	j.config.Fleet.MarkAnswered(a.server.ID, a.sentAt, now)
	failed := a.status >= http.StatusInternalServerError
	j.config.Fleet.RecordOutcome(a.server.ID, failed)
	if failed && j.route.Retryable() {
		if *failure != nil {
			j.call.Hold.Shrink(cap((*failure).body))
		}
		*failure = a
		j.log("Server failed it.", "server", a.server.ID, "status", a.status)
		return false
	}
	return true
}

// isNoRoom reports whether an answer was lost for lack of memory.
func isNoRoom(err error) bool {
	return errors.Is(err, gladememory.ErrNoRoom) || errors.Is(err, gladememory.ErrEvicted)
}

func notRun(a *answer) bool {
	return a.err == nil && (a.mark.NotRun || a.status == http.StatusMisdirectedRequest)
}

// mayResend reports whether the request may be sent again after an answer that is not returned to the caller.
func (j *job) mayResend(a *answer) bool {
	return errors.Is(a.err, gladesend.ErrNotSent) || notRun(a) || j.route.Retryable() && !isNoRoom(a.err)
}

// giveUp ends a request that no server answered successfully, with the failure answer of a server if there is one.
func (j *job) giveUp(failure *answer, err error) {
	if failure != nil {
		j.reply(failure)
		return
	}
	if (errors.Is(j.unplaced, gladequota.ErrLimited) || errors.Is(j.unplaced, errCannotFinish)) && !j.mayHaveRun {
		j.refuseUnplaced(j.unplaced)
		return
	}
	reason := "all servers refused it"
	if err != nil {
		reason = err.Error()
	}
	j.refuseOrFail(reason)
}

// reply returns a server's answer to the caller.
func (j *job) reply(a *answer) {
	j.log("Answered.", "server", a.server.ID, "status", a.status, "sends", j.sends, "bytes", len(a.body))
	j.count("answered." + j.route.Kind.String())
	j.incoming.Reply(a.status, a.header, a.body)
}

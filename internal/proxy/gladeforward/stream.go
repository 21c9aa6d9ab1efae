package gladeforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladequota"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladerollout"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
)

const (
	// checkInterval is how often a stream is checked for silence; it is well below the maximum pause.
	checkInterval = 50 * time.Millisecond
	// probeSilence is the silence after which the server of a stream that has begun is probed.
	probeSilence = 210 * time.Millisecond
	// prefillProbeSilence is the same while the prompt is processed and no events are expected.
	prefillProbeSilence = 400 * time.Millisecond
	// maxProbeDoublings bounds how often the wait for the next probe doubles within one silence.  Each probe opens a connection,
	// and a prompt of 40,000 tokens is processed for 8 s.
	maxProbeDoublings = 4
	// minPrefillWait is the least time that a server has until the first event of a run.
	minPrefillWait = 2 * time.Second
	// prefillWaitFactor is how many times as long as usual a server may take for the prompts that wait on it.
	prefillWaitFactor = 4
	// moveOnShare is the share of the maximum pause after which a silent run resumes from its copy.
	moveOnShare = 0.6
	// defaultEventGap is the maximum pause between events on a route that sets none.
	defaultEventGap = time.Second
	// unsentPause is the wait before each further send of a stream that has begun, after maxUnsent sends that reached no server or were
	// refused.
	unsentPause = 200 * time.Millisecond
	// maxStreamSends is the maximum number of sends of one stream, including those that no server ran unless the stream has begun.
	maxStreamSends = 10
)

// stream is a generation in progress.
type stream struct {
	*job
	avoidance
	// lastEvent is the number of the last event that the caller received.
	lastEvent int64
	// copy is the place of a copy of the run's memory, or nil.
	copy *gladefleet.CopyReservation
	// copyName is the name of that copy.
	copyName string
	// declined is the number of sends that servers did not run since the stream began, or since its last run.
	declined int
	// eventCount is the number of events that the caller received from this VM.
	eventCount int
	// longestPause is the longest pause between two events sent to the caller.
	longestPause time.Duration
	// lastWrite is the time at which the last event was sent to the caller.
	lastWrite time.Time
}

// attemptResult is the result of an attempt to run a stream on one server.
type attemptResult int

const (
	attemptFinished  attemptResult = iota // the caller received the complete answer
	attemptAbandoned                      // the caller disconnected or the time limit was reached
	attemptBroken                         // the run may have made progress; it can resume on another server
	attemptNotRun                         // the server did not run the request
)

// serveStream answers a request whose answer is a stream of events.
func (j *job) serveStream() {
	s := &stream{job: j, lastEvent: j.call.LastEvent}
	defer s.dropCopy()
	if !s.checkSuspect() {
		return
	}
	for {
		if !s.mayHaveRun && j.checkStop() != nil {
			j.refuseAtStop()
			return
		}
		place, from := s.reserveNext()
		if place == nil {
			return
		}
		if !s.mayBegin() { // it may have waited for room
			place.Release()
			return
		}
		result := s.runAttempt(place, from)
		place.Release()
		j.config.OnLoadChange()
		switch result {
		case attemptFinished, attemptAbandoned:
			return
		case attemptBroken:
			j.mayHaveRun = true
		case attemptNotRun: // the copy that was named is consumed and no new one was made
			s.dropCopy()
		}
		s.awaitClassification()
		if s.ctx.Err() != nil || !s.checkSuspect() || !s.mayRepeat() {
			return
		}
	}
}

// dropCopy releases the place of the copy.
func (s *stream) dropCopy() {
	s.copy.Release()
	s.copy, s.copyName = nil, ""
}

// mayRepeat reports whether the stream may be sent again; if not, it ends the request.
func (s *stream) mayRepeat() bool {
	switch {
	case s.mayHaveRun && !s.route.Retryable():
		s.fail(http.StatusBadGateway, "broken off and not resumable")
	case s.sends >= maxStreamSends:
		s.refuseOrFail("too many attempts")
	case s.unsent >= maxUnsent && !s.incoming.Started():
		s.refuseOrFail("no server accepts a connection")
	case !s.tryRetry():
		s.refuseOrFail("retry budget is empty")
	default:
		return s.pauseUnsent()
	}
	return false
}

// pauseUnsent waits before a stream that has begun is sent again after many sends that reached no server or were refused.  Its caller has
// a part of the answer, so that it goes on until its time limit; that this VM opens no connection, or that servers have no room for a while, is
// no reason to break the answer off.  It returns false if the request ends meanwhile.
func (s *stream) pauseUnsent() bool {
	if s.unsent+s.declined < maxUnsent {
		return true
	}
	left := time.Until(s.deadline)
	timer := time.NewTimer(min(unsentPause, left))
	defer timer.Stop()
	select {
	case <-s.ctx.Done():
		s.logInterrupted("sends", s.sends, "last", s.lastEvent)
		return false
	case <-timer.C:
	}
	if left <= unsentPause {
		s.failDeadline()
		return false
	}
	return true
}

// reserveNext reserves a place for the next attempt, and one for a new copy of the run.
//
// The place is on the server that holds the copy of the run, or else on the best server.  The second result is the name
// of the copy to resume from.  If there is no place, reserveNext ends the request and returns nil.
func (s *stream) reserveNext() (*gladefleet.Reservation, string) {
	room := s.roomLimits()
	if s.copy != nil && !s.repeatRule().Permits(s.copy.Version) {
		s.dropCopy() // its server's version was withdrawn since
	}
	if s.copy != nil {
		place, err := s.config.Fleet.Reserve(s.copy.ID, s.maxTokens(), time.Now())
		from := s.copyName
		s.dropCopy()
		if err == nil {
			if err = s.acquireAt(place, gladequota.Request{Resumed: true}); err == nil {
				s.reserveCopy(place, room)
				return place, from
			}
			place.Release()
		}
	}
	if place := s.findHolder(); place != nil {
		s.reserveCopy(place, room)
		return place, ""
	}
	need := s.requirements(room)
	place, err := s.waitForPlace(need)
	if errors.Is(err, gladefleet.ErrNoServer) && len(s.avoid) > 0 {
		place, err = s.waitForAvoided(need)
	}
	switch {
	case err == nil:
		return place, ""
	case s.ctx.Err() != nil:
		s.logInterrupted("sends", s.sends, "last", s.lastEvent)
	case errors.Is(err, gladefleet.ErrFull) && !s.mayHaveRun:
		s.refuse(http.StatusServiceUnavailable, "no room", s.fullRetryAfter())
	default:
		s.refuseUnplaced(err)
	}
	return nil, ""
}

// requirements returns what the stream requires of a server.
func (s *stream) requirements(room gladefleet.CapacityLimits) gladefleet.Requirements {
	return gladefleet.Requirements{
		Service: s.service, Prompt: max(1, s.call.PromptTokens), Tokens: s.maxTokens(), Session: s.sessionHash(),
		Avoid: s.avoid, Limits: room, Prefix: s.prefix(),
	}
}

// streamItem is what readAnswer sends: the header of the answer, an event, or the error that ends it.
type streamItem struct {
	exchange *gladesend.Exchange
	// body is the body of an answer that is not a stream.
	body  []byte
	event event
	err   error
}

// runAttempt runs the stream on one server until the run ends or is abandoned.
func (s *stream) runAttempt(place *gladefleet.Reservation, from string) attemptResult {
	s.checkHeardAgain()
	send := s.newSend(place.Server)
	send.LastEvent, send.ResumeFrom = s.lastEvent, from
	copyID := ""
	if s.copy != nil {
		send.CopyAddress, copyID = s.copy.Address, s.copy.ID
	}
	s.config.OnLoadChange()
	s.log("Sent.", append([]any{"server", place.ID, "reason", place.Reason, "send", s.sends, "copy", copyID, "from", from,
		"last", s.lastEvent, "leftMs", send.TimeLeft.Milliseconds(), "listed", place.Revision, "runs", place.Load.Runs,
		"unread", place.Load.PendingPrefill, "filled", place.Load.UsedMemory}, append(reportedFields(place), s.prefixFields(place)...)...)...)
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	items := make(chan streamItem)
	go s.readAnswer(ctx, send, items)
	a := &attempt{
		stream: s, place: place, lastHeard: time.Now(), attemptContext: ctx, canCopy: s.copies(),
		copyDone: make(chan copyResult),
	}
	refused := make(chan struct{})
	resumed := s.lastEvent > 0 || from != ""
	a.tracked, a.refused = s.trackRun(place, resumed, func() { close(refused) }), refused
	a.versionRun = s.beginVersionRun(place, resumed)
	result := a.follow(items)
	a.endVersionRun(result)
	if result == attemptBroken && a.received == 0 {
		s.dropCopy() // engines begin to copy a run once it has produced an event
	}
	if result == attemptFinished || result == attemptAbandoned {
		a.freeCopy()
	}
	switch {
	case result == attemptFinished && a.exchange.Status < http.StatusInternalServerError:
		a.tracked.end(runCompleted)
	case result == attemptBroken && !a.tracked.Progressed():
		a.tracked.end(a.lossOutcome())
		s.lost++
		s.lastLost = a.tracked
	default:
		a.tracked.end(runInconclusive)
	}
	return result
}

// readAnswer sends the request and sends the parts of its answer to items.
func (s *stream) readAnswer(ctx context.Context, send *gladesend.SendParams, items chan<- streamItem) {
	deliver := func(i streamItem) bool {
		select {
		case items <- i:
			return true
		case <-ctx.Done():
			return false
		}
	}
	x, err := s.config.Client.Do(ctx, &s.call, send)
	if err != nil {
		deliver(streamItem{err: err})
		return
	}
	defer x.Close()
	if x.Status != http.StatusOK {
		body, err := x.ReadBody()
		if err != nil {
			deliver(streamItem{err: err})
			return
		}
		deliver(streamItem{exchange: x, body: body})
		return
	}
	if !deliver(streamItem{exchange: x}) {
		return
	}
	r := eventReader{source: x, last: max(0, send.LastEvent), hold: s.call.Hold}
	defer r.close()
	if s.call.OutputTokens > 0 {
		r.limit = int64(s.call.OutputTokens) + extraEvents
	}
	for {
		e, err := r.next()
		if !deliver(streamItem{event: e, err: err}) || err != nil {
			return
		}
	}
}

// follow forwards the events of an attempt to the caller until the attempt ends.
func (a *attempt) follow(items <-chan streamItem) attemptResult {
	expired, stop := a.deadlineTimer()
	defer stop()
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	for {
		select {
		case <-a.ctx.Done():
			a.logInterrupted("sends", a.sends, "last", a.lastEvent)
			return attemptAbandoned
		case <-expired:
			a.failDeadline()
			return attemptAbandoned
		case <-a.refused:
			a.suspected = true
			return a.moveOn("it crashes the servers that run it")
		case <-a.place.Down():
			return a.moveOn("server was found down")
		case <-check.C:
			if a.stalled() {
				return a.moveOn("silent")
			}
			a.maintainCopy(time.Now())
		case c := <-a.copyDone:
			a.handleCopyResult(c)
		case i := <-items:
			if result, ok := a.handleItem(i); ok {
				return result
			}
		}
	}
}

// lossOutcome returns the outcome of a run that ended without an answer.
func (a *attempt) lossOutcome() runOutcome {
	if a.suspected {
		return runRefused
	}
	return runLost
}

// moveOn abandons a run that may still be in progress; its connection is closed, which cancels it.
func (a *attempt) moveOn(reason string) attemptResult {
	a.log("Moving on.", "server", a.place.ID, "reason", reason, "silentMs", a.silence().Milliseconds(), "last", a.lastEvent)
	a.avoidServer(a.place.ID)
	return attemptBroken
}

// attempt is the run of a stream on one server.
type attempt struct {
	*stream
	place   *gladefleet.Reservation
	tracked *trackedRun
	// versionRun records what the run says about its server's version.
	versionRun *versionRun
	// serverFailed reports that the server itself answered with a failure, and suspected that the run was ended because of its
	// request.
	serverFailed, suspected bool
	// refused is closed when the run must be ended, as the request crashes its servers.
	refused  <-chan struct{}
	exchange *gladesend.Exchange
	// lastHeard is the time of the last event, or of the start of the attempt.
	lastHeard time.Time
	// received is the number of events received in this attempt.
	received int
	// probes is the number of probes of the server since the last event.
	probes int
	// held is why the run is silent and not moved, if it is.
	held holdReason
	flow eventFlow

	// attemptContext is cancelled at the end of the attempt.
	attemptContext context.Context
	// canCopy reports whether the run can have copies.
	canCopy bool
	// copying reports whether an Engine.Copy call is in progress.
	copying bool
	// copiedByCall reports whether the copy was made by Engine.Copy, so that it has to be updated and freed by call.
	copiedByCall bool
	// nextCopy is the earliest time of the next Engine.Copy call.
	nextCopy time.Time
	// copyRefusedBy lists the identifiers of the servers on which a copy failed.
	copyRefusedBy []string
	// copyDone receives the result of an Engine.Copy call.
	copyDone chan copyResult
}

func (a *attempt) silence() time.Duration { return time.Since(a.lastHeard) }

// stalled probes a silent server and reports whether its run should resume on another server.
func (a *attempt) stalled() bool {
	silence := a.silence()
	limit := probeSilence
	if a.received == 0 {
		limit = prefillProbeSilence
	}
	limit <<= min(a.probes, maxProbeDoublings)
	if silence > limit && a.config.Fleet.SilentFor(a.place.ID, time.Now()) > limit && a.probe(a.place.Server, probeSilent) {
		a.probes++
	}
	maxPause := a.route.EventGap
	if maxPause <= 0 {
		maxPause = defaultEventGap
	}
	if a.received == 0 {
		return a.route.Retryable() && a.silentTooLong(a.maxPrefillWait())
	}
	if a.copy == nil || a.config.Fleet.Unavailable(a.copy.ID, time.Now()) {
		return false
	}
	return a.silentTooLong(time.Duration(moveOnShare * float64(maxPause)))
}

// maxPrefillWait returns how long a server may take until the first event of the run.
//
// It is the route's target or a multiple of what the prompts that wait on the server explain, whichever is longer: a server
// that accepts connections and does nothing would otherwise keep the run until the time limit.
func (a *attempt) maxPrefillWait() time.Duration {
	explained := time.Duration(0)
	if rate := a.config.Fleet.PrefillRate(a.service); rate > 0 {
		explained = time.Duration(float64(a.place.Load.PendingPrefill) / rate * float64(time.Second))
	}
	return max(minPrefillWait, a.route.Target, prefillWaitFactor*explained)
}

// handleItem handles one item; the second result reports whether the attempt has ended.
func (a *attempt) handleItem(i streamItem) (attemptResult, bool) {
	switch {
	case i.exchange != nil:
		a.exchange = i.exchange
		return a.handleHeader(i.body)
	case i.err == nil:
		return a.forwardEvent(i.event)
	case errors.Is(i.err, io.EOF):
		return a.finishStream()
	case errors.Is(i.err, gladesend.ErrNotSent):
		a.judgeUnsent(a.place.Server, a.lastHeard, i.err)
		a.avoidUnreached(a.place.ID)
		a.sends--
		a.recordUnsent()
		a.log("Not sent.", "server", a.place.ID, "reason", i.err)
		return attemptNotRun, true
	case isNoRoom(i.err): // this says nothing about the server
		a.versionRun.end(gladerollout.Inconclusive, a.received)
		a.fail(http.StatusBadGateway, i.err.Error())
		return attemptAbandoned, true
	}
	a.log("Broken off.", "server", a.place.ID, "reason", i.err, "last", a.lastEvent, "got", a.received)
	a.recordFailure(a.place.Server, i.err)
	a.avoidServer(a.place.ID)
	a.probe(a.place.Server, probeDue)
	return attemptBroken, true
}

// handleHeader evaluates the status and headers of an answer; the second result reports whether the attempt has ended.
//
// An answer that is not signed, or not in the server's own encoding, is unusable: the server may have run the request, and nothing
// of the answer reaches the caller.
func (a *attempt) handleHeader(body []byte) (attemptResult, bool) {
	x := a.exchange
	replied := false
	defer func() {
		if !replied {
			a.call.Hold.Shrink(cap(body))
		}
	}()
	if x.Info.NotRun || x.Status == http.StatusMisdirectedRequest {
		a.log("Server did not run it.", "server", a.place.ID, "status", x.Status)
		a.handleNotRun(a.place.Server, x.Status, x.Info.Instance)
		a.avoidServer(a.place.ID)
		switch {
		case x.Status == http.StatusMisdirectedRequest:
			a.sends-- // while the store is unavailable, all entries of a crashed failure domain may be outdated
		case a.incoming.Started():
			a.sends--
			a.declined++
		}
		return attemptNotRun, true
	}
	a.config.Fleet.MarkHeard(a.place.ID, time.Now())
	switch {
	case x.Status == http.StatusOK && x.Info.Signed && !x.Info.Encoded:
		return 0, false
	case x.Info.Signed && !x.Info.Encoded && !a.incoming.Started() &&
		(x.Status < http.StatusInternalServerError || a.sends >= max(1, a.route.Attempts)):
		replied = true
		return a.replyBody(body)
	}
	a.log("Server failed it.", "server", a.place.ID, "status", x.Status, "signed", x.Info.Signed, "encoded", x.Info.Encoded)
	a.serverFailed = x.Info.Signed && x.Status >= http.StatusInternalServerError
	a.config.Fleet.RecordOutcome(a.place.ID, true)
	a.avoidServer(a.place.ID)
	return attemptBroken, true
}

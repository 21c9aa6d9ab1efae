package gladeforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
)

const (
	// checkEvery is how often a quiet stream is looked at; well below the allowed pause.
	checkEvery = 50 * time.Millisecond
	// probeAfter is the silence of a stream that has begun after which its server is probed.
	probeAfter = 210 * time.Millisecond
	// probeReading is the same while the prompt is read, when no events are due.
	probeReading = 400 * time.Millisecond
	// moveShare is the share of the allowed pause after which a silent run goes on from its copy.
	moveShare = 0.6
	// defaultGap stands for a route that names no allowed pause.
	defaultGap = time.Second
	// maxStreamSends bounds the sends of one stream, those that no server ran included.
	maxStreamSends = 10
)

// stream is one generation under way.
type stream struct {
	*job
	// last is the last event that the caller has.
	last int64
	// copy holds the run's memory so far, if any, under the name from.
	copy *gladefleet.Copy
	from string
	// events is the number that the caller got from this VM.
	events int
	// worst is the longest pause after the first event, given when the caller last got one.
	worst time.Duration
	given time.Time
}

// result is how one attempt of a stream ended.
type result int

const (
	finished result = iota // the caller has the whole answer, or an answer that ends the request
	left                   // the caller is gone or the time is over
	broken                 // the run may have got on; it can go on elsewhere
	declined               // the server did not run it
)

// stream answers a request whose answer is a series of events.
func (j *job) stream() {
	s := &stream{job: j, last: j.call.LastEvent}
	if at := j.config.StopsAt(); !at.IsZero() && time.Until(at) < streamTime {
		j.refuse(http.StatusServiceUnavailable, "stopping", elsewhereRetryAfter)
		return
	}
	defer s.dropCopy()
	for {
		if !s.allowed() {
			return
		}
		place, from := s.next()
		if place == nil {
			return
		}
		end := s.attempt(place, from)
		place.Release()
		j.config.Changed()
		switch end {
		case finished, left:
			return
		case broken:
			j.ran = true
		case declined: // a copy that was named is used up, and no new one has been made
			s.dropCopy()
		}
		if !s.mayRepeat() {
			return
		}
	}
}

// dropCopy gives the room of the copy back.
func (s *stream) dropCopy() {
	s.copy.Release()
	s.copy, s.from = nil, ""
}

// mayRepeat reports whether the stream may be sent again, and ends it otherwise.
func (s *stream) mayRepeat() bool {
	switch {
	case s.ctx.Err() != nil:
		return false
	case s.ran && !s.route.Repeatable():
		s.fail(http.StatusBadGateway, "broken off and not resumable")
	case s.sends >= maxStreamSends:
		s.unserved("too many attempts")
	case !s.config.Budget.Repeat(s.service, time.Now()):
		s.unserved("retry budget is empty")
	default:
		return true
	}
	return false
}

// next takes a place for the next attempt, at the copy of the run or at the best server, and one for the run's new copy.
func (s *stream) next() (*gladefleet.Taken, string) {
	room := s.room()
	if s.copy != nil {
		place, err := s.config.Fleet.Take(s.copy.ID, s.tokens(), time.Now())
		from := s.from
		s.dropCopy()
		if err == nil {
			s.copyFor(place, room)
			return place, from
		}
	}
	if place := s.holder(); place != nil {
		s.copyFor(place, room)
		return place, ""
	}
	need := gladefleet.Need{
		Service: s.service, Prompt: max(1, s.call.PromptTokens), Tokens: s.tokens(), Session: s.session(), Avoid: s.avoid, Room: room,
	}
	place, err := s.place(need)
	if errors.Is(err, gladefleet.ErrNoServer) && len(s.avoid) > 0 {
		s.avoid, need.Avoid = nil, nil // all have failed once; the first may be back
		place, err = s.place(need)
	}
	switch {
	case err == nil:
		return place, ""
	case s.ctx.Err() != nil:
		s.log("Caller left.", "sends", s.sends, "last", s.last)
	case errors.Is(err, gladefleet.ErrFull) && !s.ran:
		s.refuse(http.StatusServiceUnavailable, "no room", s.returnAfter())
	default:
		s.unserved("no backend server")
	}
	return nil, ""
}

// item is what the reader of an attempt passes on: the answer's header, an event, or the end.
type item struct {
	exchange *gladesend.Exchange
	// body is the whole body of an answer that is no stream.
	body  []byte
	event event
	err   error
}

// attempt runs the stream on one server until it ends there.
func (s *stream) attempt(place *gladefleet.Taken, from string) result {
	send := s.send(place.Server)
	send.LastEvent, send.From = s.last, from
	copyID := ""
	if s.copy != nil {
		send.Copy, copyID = s.copy.Address, s.copy.ID
	}
	s.config.Changed()
	s.log("Sent.", "server", place.ID, "reason", place.Reason, "send", s.sends, "copy", copyID, "from", from, "last", s.last,
		"leftMs", send.Left.Milliseconds(), "runs", place.Load.Runs, "unread", place.Load.Unread, "filled", place.Load.Filled)
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	items := make(chan item)
	go s.read(ctx, send, items)
	a := &attempt{
		stream: s, place: place, heard: time.Now(), attemptContext: ctx, copies: s.copies(), done: make(chan copied),
	}
	ended := s.visit(place.Server)
	end := a.follow(items)
	if end == finished || end == left {
		a.free()
	}
	switch {
	case end == finished:
		ended(runWhole)
	case end == broken && a.got == 0:
		ended(runLost)
	default:
		ended(runOther)
	}
	return end
}

// copies reports whether the stream's engines keep copies of each other's runs.
func (s *stream) copies() bool {
	engine := s.release.Services[s.service].Engine
	return engine != nil && engine.Copies && s.route.Repeatable()
}

// read passes on what a server sends until its end.
func (s *stream) read(ctx context.Context, send *gladesend.Send, items chan<- item) {
	pass := func(i item) bool {
		select {
		case items <- i:
			return true
		case <-ctx.Done():
			return false
		}
	}
	x, err := s.config.Client.Do(ctx, &s.call, send)
	if err != nil {
		pass(item{err: err})
		return
	}
	defer x.Close()
	if x.Status != http.StatusOK {
		body, err := io.ReadAll(io.LimitReader(x, maxAnswer))
		if err != nil {
			pass(item{err: err})
			return
		}
		pass(item{exchange: x, body: body})
		return
	}
	if !pass(item{exchange: x}) {
		return
	}
	r := eventReader{source: x}
	for {
		e, err := r.next()
		if !pass(item{event: e, err: err}) || err != nil {
			return
		}
	}
}

// follow passes an attempt's events on to the caller.
func (a *attempt) follow(items <-chan item) result {
	expired, stop := a.expired()
	defer stop()
	check := time.NewTicker(checkEvery)
	defer check.Stop()
	for {
		select {
		case <-a.ctx.Done():
			a.log("Caller left.", "sends", a.sends, "last", a.last)
			return left
		case <-expired:
			a.timedOut()
			return left
		case <-a.place.Down():
			return a.moveOn("server was found down")
		case <-check.C:
			if a.stalled() {
				return a.moveOn("silent")
			}
			a.keepCopy(time.Now())
		case c := <-a.done:
			a.copied(c)
		case i := <-items:
			if end, ok := a.take(i); ok {
				return end
			}
		}
	}
}

// moveOn leaves a server whose run may still go on there; the connection to it is closed.
func (a *attempt) moveOn(reason string) result {
	a.log("Moving on.", "server", a.place.ID, "reason", reason, "silentMs", a.silence().Milliseconds(), "last", a.last)
	a.shun(a.place.ID)
	return broken
}

// shun keeps the request from a server.
func (s *stream) shun(id string) { s.avoid = append(s.avoid, id) }

// attempt is a stream's run on one server.
type attempt struct {
	*stream
	place    *gladefleet.Taken
	exchange *gladesend.Exchange
	heard    time.Time
	// got is the number of events of this attempt.
	got int

	// attemptContext ends with the attempt.
	attemptContext context.Context
	// copies tells that copies can be made, copying that a call that makes one is under way, called that the copy was
	// made by call and has to be brought up to date, next at nextCopy.
	copies, copying, called bool
	nextCopy                time.Time
	// refused are the servers that took no copy.
	refused []string
	done    chan copied
}

func (a *attempt) silence() time.Duration { return time.Since(a.heard) }

// stalled probes a silent server and reports whether its run should go on elsewhere.
func (a *attempt) stalled() bool {
	silence := a.silence()
	patience := probeAfter
	if a.got == 0 {
		patience = probeReading
	}
	if silence > patience && a.config.Fleet.Quiet(a.place.ID, time.Now()) > patience {
		a.probe(a.place.Server)
	}
	gap := a.route.EventGap
	if gap <= 0 {
		gap = defaultGap
	}
	if a.got == 0 || a.copy == nil || a.config.Fleet.Out(a.copy.ID, time.Now()) {
		return false
	}
	return silence > time.Duration(moveShare*float64(gap))
}

// take handles one item; it reports how the attempt ended, if it did.
func (a *attempt) take(i item) (result, bool) {
	switch {
	case i.exchange != nil:
		a.exchange = i.exchange
		return a.header(i.body)
	case i.err == nil:
		return a.pass(i.event)
	case errors.Is(i.err, io.EOF):
		return a.end()
	case errors.Is(i.err, gladesend.ErrNotSent):
		a.failed(a.place.Server, i.err.Error())
		a.shun(a.place.ID)
		a.sends--
		a.log("Not sent.", "server", a.place.ID, "reason", i.err)
		return declined, true
	}
	a.log("Broken off.", "server", a.place.ID, "reason", i.err, "last", a.last, "got", a.got)
	a.config.Fleet.Outcome(a.place.ID, true)
	a.shun(a.place.ID)
	a.probe(a.place.Server)
	return broken, true
}

// header looks at the status and marks of a server's answer.
func (a *attempt) header(body []byte) (result, bool) {
	x := a.exchange
	if x.Mark.NotRun || x.Status == http.StatusMisdirectedRequest {
		a.log("Server did not run it.", "server", a.place.ID, "status", x.Status)
		a.declined(a.place.Server, x.Status)
		a.shun(a.place.ID)
		if x.Status == http.StatusMisdirectedRequest {
			a.sends-- // while the store is away all of a crashed domain's entries may be outdated
		}
		return declined, true
	}
	a.config.Fleet.Heard(a.place.ID, time.Now())
	switch {
	case x.Status == http.StatusOK && x.Mark.Sealed && !x.Mark.Encoded:
		return 0, false
	case x.Mark.Sealed && !a.x.Begun() && (x.Status < http.StatusInternalServerError || a.sends >= max(1, a.route.Attempts)):
		return a.whole(body)
	}
	a.log("Server failed it.", "server", a.place.ID, "status", x.Status)
	a.config.Fleet.Outcome(a.place.ID, true)
	a.shun(a.place.ID)
	return broken, true
}

// whole passes on an answer that is no stream.
func (a *attempt) whole(body []byte) (result, bool) {
	a.ran = true
	a.log("Answered.", "server", a.place.ID, "status", a.exchange.Status, "sends", a.sends)
	a.x.Reply(a.exchange.Status, a.exchange.Header, body)
	return finished, true
}

// pass sends an event to the caller unless it has it.
func (a *attempt) pass(e event) (result, bool) {
	now := time.Now()
	a.heard = now
	a.config.Fleet.Heard(a.place.ID, now)
	if a.got++; a.got == 1 {
		a.place.Read(now)
		a.config.Changed()
	}
	if e.id != gladesend.NoEvent && e.id <= a.last {
		return 0, false
	}
	if a.events == 0 {
		a.observe("firstEvent", now.Sub(a.x.Received))
		a.log("First event.", "server", a.place.ID, "event", e.id)
	}
	if !a.x.Begun() {
		if a.x.Begin(a.exchange.Status, a.exchange.Header, -1) != nil {
			return left, true
		}
	}
	if a.x.Write(e.bytes) != nil {
		return left, true
	}
	if a.events++; a.events > 1 {
		a.worst = max(a.worst, now.Sub(a.given))
	}
	a.given = now
	if e.id != gladesend.NoEvent {
		a.last = e.id
	}
	return 0, false
}

// end ends a whole stream.
func (a *attempt) end() (result, bool) {
	if !a.x.Begun() {
		if a.x.Begin(a.exchange.Status, a.exchange.Header, -1) != nil {
			return left, true
		}
	}
	if a.x.End() != nil {
		return left, true
	}
	a.config.Fleet.Outcome(a.place.ID, false)
	a.count("answered." + a.route.Kind.String())
	a.observe("pause", a.worst)
	a.log("Answered.", "server", a.place.ID, "sends", a.sends, "events", a.events, "worstPauseMs", a.worst.Milliseconds())
	return finished, true
}

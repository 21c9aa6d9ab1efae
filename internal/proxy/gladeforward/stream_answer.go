package gladeforward

import (
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladesuspect"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
)

// replyBody returns an answer that is not a stream to the caller.
func (a *attempt) replyBody(body []byte) (attemptResult, bool) {
	a.mayHaveRun = true
	a.log("Answered.", "server", a.place.ID, "status", a.exchange.Status, "sends", a.sends)
	a.incoming.Reply(a.exchange.Status, a.exchange.Header, body)
	return attemptFinished, true
}

// forwardEvent sends an event to the caller unless the caller has already received it.
func (a *attempt) forwardEvent(e event) (attemptResult, bool) {
	now := time.Now()
	a.config.Fleet.MarkAnswered(a.place.ID, a.flow.runningAt(a.config.BootTime()), now)
	if e.id == gladesend.NoEvent {
		return a.write(e.bytes)
	}
	a.lastHeard, a.probes, a.held = now, 0, holdNone
	if a.received++; a.received == 1 {
		a.unsent, a.declined = 0, 0 // connections open again, and servers have room
		a.place.PrefillDone(now)
		a.config.OnLoadChange()
		a.recordCopyVersion()
	}
	a.tracked.progress(a.received)
	a.versionRun.recordEvents(a.received, now)
	if e.id <= a.lastEvent {
		return 0, false
	}
	if a.eventCount == 0 {
		a.observe("firstEvent", now.Sub(a.incoming.LastByteAt))
		a.log("First event.", "server", a.place.ID, "event", e.id, "parts", gladesuspect.FormatParts(a.call.Parts))
	}
	if result, ended := a.write(e.bytes); ended {
		return result, true
	}
	if a.eventCount++; a.eventCount > 1 {
		a.longestPause = max(a.longestPause, now.Sub(a.lastWrite))
	}
	a.lastWrite = now
	a.lastEvent = e.id
	return 0, false
}

// write sends a part of the answer to the caller, after the header if nothing was sent before; the second result reports
// whether the caller has disconnected.
func (a *attempt) write(b []byte) (attemptResult, bool) {
	if !a.incoming.Started() {
		if a.incoming.Begin(a.exchange.Status, a.exchange.Header, -1) != nil {
			return attemptAbandoned, true
		}
	}
	if a.incoming.Write(b) != nil {
		return attemptAbandoned, true
	}
	return 0, false
}

// finishStream ends the answer to the caller after the complete stream.
func (a *attempt) finishStream() (attemptResult, bool) {
	if !a.incoming.Started() {
		if a.incoming.Begin(a.exchange.Status, a.exchange.Header, -1) != nil {
			return attemptAbandoned, true
		}
	}
	if a.incoming.End() != nil {
		return attemptAbandoned, true
	}
	a.config.Fleet.RecordOutcome(a.place.ID, false)
	a.count("answered." + a.route.Kind.String())
	a.observe("pause", a.longestPause)
	a.log("Answered.", "server", a.place.ID, "sends", a.sends, "events", a.eventCount,
		"worstPauseMs", a.longestPause.Milliseconds())
	return attemptFinished, true
}

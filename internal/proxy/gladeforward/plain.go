package gladeforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladesend"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladerelease"
)

const (
	// maxAnswer bounds a plain answer, in bytes; it is held back until it is whole.
	maxAnswer = 8 << 20
	// maxSends bounds the sends of one request, those that no server ran included.
	maxSends = 4
	// hedgeShare is the share of a route's target after which a repeatable request is sent to a second server.
	hedgeShare = 0.5
	// minHedge keeps a second server from being asked before an ordinary answer can be there.
	minHedge = 30 * time.Millisecond
)

// errNotWhole means that an answer cannot be passed on as the server's.
var errNotWhole = eris.New("answer is not the server's whole answer")

// answer is what one send of a plain request came to.
type answer struct {
	server gladefleet.Server
	status int
	header http.Header
	mark   gladesend.Mark
	body   []byte
	err    error
}

// plain answers a request whose answer is one body.
func (j *job) plain() {
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	answers := make(chan answer, maxSends)
	expired, stop := j.expired()
	defer stop()
	running := 0
	var kept *answer
	hedge := j.hedge()
	if !j.allowed() || !j.start(ctx, answers, &running) {
		return
	}
	for {
		select {
		case <-j.ctx.Done():
			j.log("Caller left.", "sends", j.sends)
			return
		case <-expired:
			j.timedOut()
			return
		case <-hedge:
			hedge = nil
			j.repeat(ctx, answers, &running)
		case a := <-answers:
			running--
			if j.settle(&a, &kept) {
				j.deliver(&a)
				return
			}
			if j.again(&a) && j.repeat(ctx, answers, &running) || running > 0 {
				continue
			}
			j.giveUp(kept, a.err)
			return
		}
	}
}

// hedge returns a channel that fires when a second server should be asked.
func (j *job) hedge() <-chan time.Time {
	if j.route.Kind != gladerelease.Safe || j.route.Attempts < 2 || j.route.Target <= 0 {
		return nil
	}
	return time.After(max(minHedge, time.Duration(hedgeShare*float64(j.route.Target))))
}

// start sends the request for the first time; it refuses it if no server is there.
func (j *job) start(ctx context.Context, answers chan<- answer, running *int) bool {
	if j.launch(ctx, answers) {
		*running++
		return true
	}
	j.unserved("no backend server")
	return false
}

// repeat sends the request to a further server if attempts, time and the budget allow it.
func (j *job) repeat(ctx context.Context, answers chan<- answer, running *int) bool {
	if j.sends >= maxSends || j.ran && j.sends >= max(1, j.route.Attempts) || !j.config.Budget.Repeat(j.service, time.Now()) {
		return false
	}
	if !j.launch(ctx, answers) {
		return false
	}
	*running++
	return true
}

// launch sends the request to the best server in the background.
func (j *job) launch(ctx context.Context, answers chan<- answer) bool {
	place, err := j.config.Fleet.Choose(gladefleet.Need{Service: j.service, Avoid: j.avoid}, time.Now())
	if err != nil {
		return false
	}
	s := j.send(place.Server)
	j.avoid = append(j.avoid, place.ID)
	j.log("Sent.", "server", place.ID, "reason", place.Reason, "send", j.sends, "leftMs", s.Left.Milliseconds())
	ended := j.visit(place.Server)
	go func() {
		defer place.Release()
		a := j.exchange(ctx, s)
		switch {
		case a.err == nil:
			ended(runWhole)
		case ctx.Err() != nil || errors.Is(a.err, gladesend.ErrNotSent):
			ended(runOther)
		default:
			ended(runLost)
		}
		a.server = place.Server
		answers <- a
	}()
	return true
}

// exchange carries out one send and reads the whole answer.
func (j *job) exchange(ctx context.Context, s *gladesend.Send) answer {
	x, err := j.config.Client.Do(ctx, &j.call, s)
	if err != nil {
		return answer{err: err}
	}
	defer x.Close()
	a := answer{status: x.Status, header: x.Header, mark: x.Mark}
	a.body, a.err = io.ReadAll(io.LimitReader(x, maxAnswer+1))
	switch {
	case a.err != nil || a.mark.NotRun:
	case len(a.body) > maxAnswer || !a.mark.Sealed || a.mark.Encoded:
		a.err = eris.Wrapf(errNotWhole, "status %d, %d bytes", a.status, len(a.body))
	}
	return a
}

// settle takes note of an answer and reports whether it goes to the caller.
func (j *job) settle(a *answer, kept **answer) bool {
	now := time.Now()
	switch {
	case errors.Is(a.err, gladesend.ErrNotSent):
		j.failed(a.server, a.err.Error())
		j.log("Not sent.", "server", a.server.ID, "reason", a.err)
		return false
	case notRun(a):
		j.declined(a.server, a.status)
		j.log("Server did not run it.", "server", a.server.ID, "status", a.status)
		return false
	case a.err != nil:
		j.ran = true
		j.config.Fleet.Outcome(a.server.ID, true)
		j.probe(a.server)
		j.log("Answer lost.", "server", a.server.ID, "reason", a.err)
		return false
	}
	j.ran = true
	j.config.Fleet.Heard(a.server.ID, now)
	failed := a.status >= http.StatusInternalServerError
	j.config.Fleet.Outcome(a.server.ID, failed)
	if failed && j.route.Repeatable() {
		*kept = a
		j.log("Server failed it.", "server", a.server.ID, "status", a.status)
		return false
	}
	return true
}

func notRun(a *answer) bool {
	return a.err == nil && (a.mark.NotRun || a.status == http.StatusMisdirectedRequest)
}

// again reports whether the request may be sent once more after an answer that does not go to the caller.
func (j *job) again(a *answer) bool {
	return errors.Is(a.err, gladesend.ErrNotSent) || notRun(a) || j.route.Repeatable()
}

// giveUp ends a request that no send has answered well.
func (j *job) giveUp(kept *answer, err error) {
	if kept != nil {
		j.deliver(kept)
		return
	}
	reason := "all servers refused it"
	if err != nil {
		reason = err.Error()
	}
	j.unserved(reason)
}

// deliver passes a server's whole answer on.
func (j *job) deliver(a *answer) {
	j.log("Answered.", "server", a.server.ID, "status", a.status, "sends", j.sends, "bytes", len(a.body))
	j.count("answered." + j.route.Kind.String())
	j.x.Reply(a.status, a.header, a.body)
}

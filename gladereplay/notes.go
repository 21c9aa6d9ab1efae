package gladereplay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladecluster"
	"github.com/eelgrassglade/eelgrassglade/gladedaemon"
	"github.com/eelgrassglade/eelgrassglade/gladekernel"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladestatus"
)

// noteHistory records when each note first came into force on a VM.
type noteHistory struct {
	current      int64
	inForceAt    map[int64]time.Time
	sampledSince time.Time
}

func noteInForce(v *gladecluster.VM) int64 {
	n, err := gladekernel.Lookup[*gladedaemon.Notes](v.Daemon.Kernel(), gladedaemon.ServiceNotes)
	if err != nil || n.State() == nil {
		return 0
	}
	return n.State().Number
}

// sampleNotes records the number of the note in force on each live VM every sampleInterval until ctx is done.
func (r *replayer) sampleNotes(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		for _, v := range r.cluster.LiveVMs() {
			r.recordNote(v.Name, noteInForce(v))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *replayer) recordNote(vm string, number int64) {
	r.mu.Lock()
	s := r.notes[vm]
	if s == nil {
		s = &noteHistory{inForceAt: map[int64]time.Time{}, sampledSince: time.Now()}
		r.notes[vm] = s
	}
	old := s.current
	for n := old + 1; n <= number; n++ {
		s.inForceAt[n] = time.Now()
	}
	s.current = number
	r.mu.Unlock()
	if number < old {
		r.fail(gladecheck.NoteNeverReverts, "", "%s has note %d in force after note %d", vm, number, old)
	}
}

// submitNote submits a note to the live VMs in turn until one accepts it, as an operator does.
func (r *replayer) submitNote(ctx context.Context, e *Event) {
	note := *e.Note
	number := note.Number
	note.Number = 0
	raw, err := json.Marshal(&note)
	if err != nil {
		r.fail("", "", "note %d: %v", number, err)
		return
	}
	var refusal string
	for _, v := range r.cluster.LiveVMs() {
		answer, err := submitTo(ctx, v, raw)
		if err == nil && answer.Accepted != nil {
			r.mu.Lock()
			r.submitted[answer.Accepted.Number] = time.Now()
			r.mu.Unlock()
			return
		}
		refusal = fmt.Sprintf("%v %v", answer.Errors, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Skipped = append(r.report.Skipped, fmt.Sprintf("note %d: %s", number, refusal))
}

func submitTo(ctx context.Context, v *gladecluster.VM, raw []byte) (gladedaemon.NoteAnswer, error) {
	var answer gladedaemon.NoteAnswer
	client := v.Client()
	defer client.CloseIdleConnections()
	url := "http://" + v.Daemon.OperatorsAddress() + "/notes"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return answer, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := gladestatus.Do(client, request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}

// awaitNotes waits until the deadline of every note with an expected time in force.
func (r *replayer) awaitNotes(ctx context.Context) {
	for i := range r.trace.Events {
		x := r.trace.Events[i].Expect
		if x == nil || x.Note == 0 {
			continue
		}
		r.mu.Lock()
		at := r.submitted[x.Note]
		r.mu.Unlock()
		sleepUntil(ctx, at.Add(x.Within.D()+sampleInterval))
	}
}

func (r *replayer) checkNote(x *Expect) {
	at, ok := r.submitted[x.Note]
	if !ok {
		r.fail("", "", "note %d was not submitted", x.Note)
		return
	}
	for _, v := range r.cluster.LiveVMs() {
		s := r.notes[v.Name]
		if s == nil || s.sampledSince.After(at) {
			continue
		}
		first, ok := s.inForceAt[x.Note]
		if !ok || first.Sub(at) > x.Within.D()+sampleInterval {
			r.fail("", "", "note %d on %s: in force after %s, want %s; now note %d",
				x.Note, v.Name, first.Sub(at), x.Within.D(), s.current)
		}
	}
}

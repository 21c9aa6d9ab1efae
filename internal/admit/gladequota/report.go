package gladequota

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ErrUnusable means that a named limit is not a number of requests per second.
var ErrUnusable = eris.New("unusable limit")

// MaxPerSecond is the largest limit that is kept, in requests per second; larger ones count as this one.
const MaxPerSecond = 1e6

// ParseLimit parses the limits that an answer names, in requests per second. named is false if it names none. Of several
// limits the lowest holds, and those that are no finite number of at least zero are ignored. It returns ErrUnusable if that
// leaves none.
func ParseLimit(texts []string) (perSecond float64, named bool, err error) {
	perSecond = math.Inf(1)
	for _, t := range texts {
		for s := range strings.SplitSeq(t, ",") {
			v, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
			if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
				continue
			}
			perSecond, named = min(perSecond, v), true
		}
	}
	switch {
	case named:
		return min(perSecond, MaxPerSecond), true, nil
	case len(texts) > 0:
		return 0, false, eris.Wrapf(ErrUnusable, "%.100q", texts)
	}
	return 0, false, nil
}

// Report is what an answer of a backend server says about its limit, as sent to another VM.
type Report struct {
	// Started is the start time of the server, in Unix milliseconds.
	Started int64 `json:"started,omitempty"`
	Named   bool  `json:"named,omitempty"`
	// PerSecond is the limit in requests per second, if one is named.
	PerSecond float64 `json:"perSecond,omitempty"`
	// SentAge and ReceivedAge are the ages of the request and of its answer when the report is sent.
	SentAge     time.Duration `json:"sentAge"`
	ReceivedAge time.Duration `json:"receivedAge"`
}

// report is what is known last about the limit of a server.
type report struct {
	started   int64
	named     bool
	perSecond float64
	// sentAt and receivedAt bound the time at which the server said so.
	sentAt, receivedAt time.Time
}

// transferMargin is the time that a report may take from one VM to another, by which it appears younger than it is.
const transferMargin = 50 * time.Millisecond

// importReport returns a report that another VM sent.
func importReport(r Report, now time.Time) report {
	return report{
		started: r.Started, named: r.Named, perSecond: min(MaxPerSecond, max(0, r.PerSecond)),
		sentAt: now.Add(-max(0, r.SentAge) - transferMargin), receivedAt: now.Add(-max(0, r.ReceivedAge)),
	}
}

// export returns the report in the form in which it is sent.
func (r *report) export(now time.Time) Report {
	return Report{
		Started: r.started, Named: r.named, PerSecond: r.perSecond,
		SentAge: max(0, now.Sub(r.sentAt)), ReceivedAge: max(0, now.Sub(r.receivedAt)),
	}
}

// merge applies a newer report, and returns whether that changed the limit. Of two reports of which neither is
// certainly newer, the stricter one holds until a later answer tells.
func (r *report) merge(o report) (changed bool) {
	switch {
	case o.started < r.started:
		return false
	case o.started > r.started, !o.sentAt.Before(r.receivedAt):
	case o.receivedAt.Before(r.sentAt):
		return false
	case o.strictness() > r.strictness():
		return false
	default:
		o.sentAt, o.receivedAt = latest(o.sentAt, r.sentAt), latest(o.receivedAt, r.receivedAt)
	}
	changed = r.named != o.named || r.perSecond != o.perSecond
	*r = o
	return changed
}

// strictness returns the limit, infinite for none.
func (r *report) strictness() float64 {
	if !r.named {
		return math.Inf(1)
	}
	return r.perSecond
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// adopt makes the report one of a server that was restarted under the same identifier, and returns whether it still
// holds: a process has named nothing before its start.
func (r *report) adopt(started int64) bool {
	if started <= r.started {
		return true
	}
	if r.sentAt.UnixMilli() < started {
		return false
	}
	r.started = started
	return true
}

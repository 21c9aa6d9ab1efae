package gladefront

import (
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeserve"
	gladeplatform "github.com/eelgrassglade/eelgrassglade/platform"
)

// unansweredMetric is the prefix of the counters of requests that were not answered whole, by stage and cause.
const unansweredMetric = "unanswered."

// onUnanswered records that a connection ended although a request, or a part of one, had arrived and was not answered whole.
func (f *Front) onUnanswered(u gladeserve.Unanswered) {
	f.countCall(unansweredMetric + string(u.Stage) + "." + string(u.Cause))
	id := u.Note.ID
	if id == "" && u.Header != nil {
		id = gladeplatform.DecodeCall(u.Header.Clone()).ID
	}
	version, age := int64(0), time.Duration(0)
	if r := f.release.Load(); r != nil {
		f.mu.Lock()
		version, age = r.Version, time.Since(f.releaseSince)
		f.mu.Unlock()
	}
	f.log.Info("Connection ended without a whole answer.", "request", id, "stage", u.Stage, "cause", u.Cause, "reason", u.Note.Reason,
		"error", errorText(u.Err), "sent", u.Note.Sent, "written", u.Written, "ageMs", u.Age.Milliseconds(), "unsent", u.Unsent,
		"unread", u.Unread, "release", version, "releaseAgeMs", age.Milliseconds())
}

// errorText returns the text of an error, empty without one.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

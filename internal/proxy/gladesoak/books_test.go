package gladesoak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// answer is what a caller got for one attempt.
type answer struct {
	id, kind string
	status   int
	// whole tells that the answer ended as it should.
	whole bool
	body  string
	// owner is the identifier that the answer bears.
	owner string
	sent  time.Time
	took  time.Duration
	limit time.Duration
	// graceful tells that the VM was at most asked to stop while it answered, and calm that nothing befell it.
	graceful, calm bool
}

// books are what the stand-ins saw.
type books struct {
	mu      sync.Mutex
	runs    map[string]int  // by attempt
	ended   map[string]bool // attempts whose server gave its whole answer
	answers []answer
	late    []string // requests that reached a leaving server
	broken  []string
}

func newBooks() *books { return &books{runs: map[string]int{}, ended: map[string]bool{}} }

func (b *books) run(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
}

func (b *books) end(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended[id] = true
}

func (b *books) answered(a answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers = append(b.answers, a)
}

func (b *books) breach(format string, args ...any) {
	b.broken = append(b.broken, fmt.Sprintf(format, args...))
}

// promises are the statuses that promise that a request has not run.
var promises = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// lateness is how much later than its limit an answer may come.
const lateness = 700 * time.Millisecond

// check returns what the books show to be broken.
func (b *books) check() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.answers {
		b.checkAnswer(a)
	}
	for _, id := range b.late {
		b.breach("%s reached a leaving server", id)
	}
	return b.broken
}

func (b *books) checkAnswer(a answer) {
	runs := b.runs[a.id]
	if a.kind == "unsafe" && runs > 1 {
		b.breach("%s ran %d times", a.id, runs)
	}
	if a.kind == "unsafe" && slices.Contains(promises, a.status) && runs > 0 {
		b.breach("%s was answered %d and ran", a.id, a.status)
	}
	if a.status == http.StatusOK && a.owner != a.id {
		b.breach("%s got the answer of %q", a.id, a.owner)
	}
	if a.calm && a.took > a.limit+lateness {
		b.breach("%s was answered after %v, limit %v", a.id, a.took, a.limit)
	}
	if a.status == http.StatusOK && a.kind != "stream" && a.whole && a.body != "answer to "+a.id {
		b.breach("%s got %q", a.id, a.body)
	}
	if a.graceful && a.kind == "unsafe" && b.ended[a.id] && !a.whole {
		b.breach("%s was cut by a planned stop", a.id)
	}
	if a.kind == "stream" {
		b.checkStream(a)
	}
}

// checkStream compares the events of a stream with those that one run gives.
func (b *books) checkStream(a answer) {
	if a.status != http.StatusOK {
		return
	}
	want := streamOf(a.id)
	switch {
	case a.whole && a.body != want:
		b.breach("%s looks whole and has %d bytes of %d", a.id, len(a.body), len(want))
	case !strings.HasPrefix(want, a.body[:strings.LastIndex(a.body, "\n\n")+max(0, min(2, len(a.body)))]):
		b.breach("%s has events out of order", a.id)
	}
}

const streamEvents = 40

// eventOf is one event of the stream that answers an attempt.
func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s token %d\n\n", n, id, n) }

func streamOf(id string) string {
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		b.WriteString(eventOf(id, n))
	}
	return b.String()
}

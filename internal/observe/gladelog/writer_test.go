package gladelog

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
)

// blockedWriter blocks every write until gate is closed, and closes entered at the first one.
type blockedWriter struct {
	entered, gate chan struct{}
	once          sync.Once
	mu            sync.Mutex
	got           bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	b.once.Do(func() { close(b.entered) })
	<-b.gate
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.got.Write(p)
}

// Guards against a standard output that nobody reads blocking the requests, and against dropped lines that are not
// counted in the next line.
//
// The first write takes any number of the earlier lines from the queue. Once it is blocked, nothing takes lines from
// the queue, so that more lines than the queue holds do not fit, whatever the first write has taken.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	c := qt.New(t)
	out := &blockedWriter{entered: make(chan struct{}), gate: make(chan struct{})}
	w, closeWriter := NewWriter(out)
	log := New("gladed", w, hclog.Info)
	const earlier, lines = 500, maxQueuedLines + 500
	for i := range earlier {
		log.Info("Sent.", "request", i)
	}
	<-out.entered
	queued := len(w.lines)
	for i := range lines {
		log.Info("Sent.", "request", earlier+i)
	}
	c.Check(w.Lost(), qt.Equals, int64(queued+lines-maxQueuedLines))
	close(out.gate)
	closeWriter()
	text := out.got.String()
	written := strings.Count(text, `"Sent."`)
	c.Assert(written < earlier+lines, qt.IsTrue)
	c.Assert(w.Lost(), qt.Equals, int64(earlier+lines-written))
	c.Assert(strings.Contains(text, fmt.Sprintf(`"Lines left out.","lines":%d}`, w.Lost())), qt.IsTrue)
}

func TestQueuedLinesAreWrittenOnClose(t *testing.T) {
	var out bytes.Buffer
	w, closeWriter := NewWriter(&out)
	log := New("gladed", w, hclog.Info)
	log.Info("Stopped.", "reason", "signal")
	log.Debug("Not written.")
	closeWriter()
	qt.Assert(t, strings.Count(out.String(), "\n"), qt.Equals, 1)
	qt.Assert(t, w.Lost(), qt.Equals, int64(0))
}

func BenchmarkLine(b *testing.B) {
	w, closeWriter := NewWriter(io.Discard)
	defer closeWriter()
	log := New("gladed", w, hclog.Info).Named("proxy")
	b.ReportAllocs()
	for i := range b.N {
		log.Info("Sent.", "request", "9c41d07be2a35f68", "route", "r-1", "release", 7, "ageMs", i, "server", "i-7f3a91c2",
			"reason", "least loaded in the failure domain", "send", 1, "leftMs", 2400)
	}
}

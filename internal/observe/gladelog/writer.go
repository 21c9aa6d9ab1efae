package gladelog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
)

// maxQueuedLines bounds the lines that wait to be written: some seconds of a busy VM, below 1 MB.
const maxQueuedLines = 2048

// Writer queues lines; Write never blocks.
type Writer struct {
	lines chan []byte
	// unreported counts the dropped lines that no written line reports yet.
	unreported atomic.Int64
	lost       atomic.Int64
}

// NewWriter starts writing to out and returns the clean-up function, which writes what is queued.
func NewWriter(out io.Writer) (*Writer, func()) {
	w := &Writer{lines: make(chan []byte, maxQueuedLines)}
	done := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for {
			select {
			case line := <-w.lines:
				w.write(out, line)
			case <-done:
				w.drain(out)
				return
			}
		}
	})
	return w, func() {
		close(done)
		tasks.Wait()
	}
}

// Write queues one line, or drops and counts it if the queue is full.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.unreported.Add(1)
	}
	return len(line), nil
}

// Lost returns the number of lines that were dropped, plus one for each failed write.
func (w *Writer) Lost() int64 { return w.lost.Load() + w.unreported.Load() }

// write writes the line and all that are queued behind it in one call.
func (w *Writer) write(out io.Writer, line []byte) {
	var b bytes.Buffer
	if n := w.unreported.Swap(0); n > 0 {
		w.lost.Add(n)
		_, _ = fmt.Fprintf(&b, "{\"@level\":\"warn\",\"@message\":\"Lines left out.\",\"lines\":%d}\n", n)
	}
	b.Write(line)
	for range len(w.lines) {
		b.Write(<-w.lines)
	}
	if _, err := out.Write(b.Bytes()); err != nil {
		w.lost.Add(1) // there is no other place to report it
	}
}

func (w *Writer) drain(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.write(out, line)
		default:
			return
		}
	}
}

// New returns a logger of JSON lines.
func New(name string, out io.Writer, level hclog.Level) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: level, JSONFormat: true, Output: out})
}

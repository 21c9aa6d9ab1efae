package gladelog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
)

// queueLines bounds the lines that wait for the writer: some seconds of a busy VM, below 1 MB.
const queueLines = 2048

// Writer queues lines; Write never blocks.
type Writer struct {
	lines chan []byte
	left  atomic.Int64
	lost  atomic.Int64
}

// NewWriter starts writing to out and returns the clean-up function, which writes what is queued.
func NewWriter(out io.Writer) (*Writer, func()) {
	w := &Writer{lines: make(chan []byte, queueLines)}
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

// Write queues one line, or counts it as left out.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.left.Add(1)
	}
	return len(line), nil
}

// Lost returns the number of lines that were left out or could not be written.
func (w *Writer) Lost() int64 { return w.lost.Load() + w.left.Load() }

// write writes the line and all that are queued behind it in one call.
func (w *Writer) write(out io.Writer, line []byte) {
	var b bytes.Buffer
	if n := w.left.Swap(0); n > 0 {
		w.lost.Add(n)
		_, _ = fmt.Fprintf(&b, "{\"@level\":\"warn\",\"@message\":\"Lines left out.\",\"lines\":%d}\n", n)
	}
	b.Write(line)
	for range len(w.lines) {
		b.Write(<-w.lines)
	}
	if _, err := out.Write(b.Bytes()); err != nil {
		w.lost.Add(1) // there is nowhere else to say so
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

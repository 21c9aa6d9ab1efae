package gladereplay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/rotisserie/eris"
)

// ErrInvalid is wrapped by every complaint about a trace.
var ErrInvalid = eris.New("invalid trace")

const maxLineBytes = 1 << 20

// Load reads a trace from a file and returns all complaints at once.
func Load(path string) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "trace")
	}
	defer func() { _ = f.Close() }()
	t, err := Parse(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return t, nil
}

// Parse reads a trace and returns all complaints at once, each with its line.
func Parse(r io.Reader) (*Trace, error) {
	p := parser{}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		p.line++
		if raw := bytes.TrimSpace(scanner.Bytes()); len(raw) > 0 {
			p.parse(raw)
		}
	}
	if err := scanner.Err(); err != nil {
		p.line++
		p.complain("%v", err)
	}
	if !p.header && len(p.errs) == 0 {
		p.complain("no header")
	}
	if len(p.errs) == 0 {
		p.check()
	}
	slices.SortStableFunc(p.trace.Events, func(a, b Event) int { return int(a.At - b.At) })
	return &p.trace, errors.Join(p.errs...)
}

// Write writes a trace in the form that Parse reads.
func (t *Trace) Write(w io.Writer) error {
	e := json.NewEncoder(w)
	if err := e.Encode(t.Header); err != nil {
		return eris.Wrap(err, "header")
	}
	for i := range t.Events {
		if err := e.Encode(&t.Events[i]); err != nil {
			return eris.Wrap(err, "event")
		}
	}
	return nil
}

type parser struct {
	trace  Trace
	header bool
	line   int
	errs   []error
}

func (p *parser) complain(format string, args ...any) {
	p.errs = append(p.errs, fmt.Errorf("%w: line %d: %s", ErrInvalid, p.line, fmt.Sprintf(format, args...)))
}

func (p *parser) parse(raw []byte) {
	if !p.header {
		p.header = true
		p.decode(raw, &p.trace.Header)
		return
	}
	e := Event{line: p.line}
	if p.decode(raw, &e) {
		p.trace.Events = append(p.trace.Events, e)
	}
}

func (p *parser) decode(raw []byte, v any) bool {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		p.complain("%v", err)
		return false
	}
	if d.More() {
		p.complain("more than one JSON value")
		return false
	}
	return true
}

// check complains about what does not fit together.
func (p *parser) check() {
	h := &p.trace.Header
	p.line = 1
	if h.Trace != Version {
		p.complain("trace version %d, want %d", h.Trace, Version)
	}
	if len(h.Cluster.FailureDomains) == 0 || h.Cluster.VMs < 1 || h.Cluster.Engines < 0 {
		p.complain("cluster: want failureDomains and at least one VM in each")
	}
	ids := map[string]bool{}
	for i := range p.trace.Events {
		e := &p.trace.Events[i]
		p.line = e.line
		p.checkEvent(e, ids)
	}
	for i := range p.trace.Events {
		e := &p.trace.Events[i]
		p.line = e.line
		if e.Expect != nil {
			p.checkExpect(e.Expect, ids)
		}
	}
}

func (p *parser) checkEvent(e *Event, ids map[string]bool) {
	if n := e.actions(); n != 1 {
		p.complain("%d of generate, call, fault, note, stop, expect; want exactly one", n)
		return
	}
	if e.At < 0 {
		p.complain("at: must not be negative")
	}
	switch {
	case e.Generate != nil:
		p.checkID(e.Generate.ID, ids)
		if e.Generate.Prompt == "" || e.Generate.MaxTokens < 1 {
			p.complain("generate: want a prompt and maxTokens")
		}
	case e.Call != nil:
		p.checkID(e.Call.ID, ids)
		if e.Call.Route == "" {
			p.complain("call: want a route")
		}
	case e.Fault != nil:
		p.checkFault(e.Fault)
	case e.Stop != nil:
		if (e.Stop.VM == "") == !e.Stop.Rolling {
			p.complain("stop: want either vm or rolling")
		}
	}
}

func (e *Event) actions() int {
	n := 0
	for _, set := range []bool{
		e.Generate != nil, e.Call != nil, e.Fault != nil, e.Note != nil, e.Stop != nil, e.Expect != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

func (p *parser) checkID(id string, ids map[string]bool) {
	if id == "" || ids[id] {
		p.complain("id %q is empty or used twice", id)
	}
	ids[id] = true
}

func (p *parser) checkExpect(x *Expect, ids map[string]bool) {
	switch {
	case x.Note != 0 && x.Within == 0:
		p.complain("expect: a note wants within")
	case x.Note == 0 && !ids[x.ID]:
		p.complain("expect: no request has the id %q", x.ID)
	case x.Note == 0 && len(x.Outcome) == 0:
		p.complain("expect: want an outcome")
	}
	for _, o := range x.Outcome {
		if !slices.Contains([]Outcome{Whole, Refused, Cut}, o) {
			p.complain("expect: unknown outcome %q", o)
		}
	}
}

func (p *parser) checkFault(f *Fault) {
	spec, ok := faults[f.Kind]
	if !ok {
		p.complain("fault: unknown kind %q", f.Kind)
		return
	}
	if spec.target && f.Target == "" {
		p.complain("fault: %s wants a target", f.Kind)
	}
	if spec.other && f.Other == "" {
		p.complain("fault: %s wants an other", f.Kind)
	}
	if spec.ends && f.For <= 0 {
		p.complain("fault: %s wants a for", f.Kind)
	}
}

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

// ErrInvalid is wrapped by every error about the content of a trace.
var ErrInvalid = eris.New("invalid trace")

const maxLineBytes = 1 << 20

// Load reads a trace from a file and returns all errors in it, joined.
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

// Parse reads a trace and returns all errors in it, joined, each with its line number.
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
		p.addError("%v", err)
	}
	if !p.headerRead && len(p.errs) == 0 {
		p.addError("no header")
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
	trace      Trace
	headerRead bool
	line       int
	errs       []error
}

func (p *parser) addError(format string, args ...any) {
	p.errs = append(p.errs, fmt.Errorf("%w: line %d: %s", ErrInvalid, p.line, fmt.Sprintf(format, args...)))
}

func (p *parser) parse(raw []byte) {
	if !p.headerRead {
		p.headerRead = true
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
		p.addError("%v", err)
		return false
	}
	if d.More() {
		p.addError("more than one JSON value")
		return false
	}
	return true
}

// check validates the header and the events once every line has been decoded.
func (p *parser) check() {
	h := &p.trace.Header
	p.line = 1
	if h.Trace != Version {
		p.addError("trace version %d, want %d", h.Trace, Version)
	}
	if len(h.Cluster.FailureDomains) == 0 || h.Cluster.VMs < 1 || h.Cluster.Engines < 0 {
		p.addError("cluster: want failureDomains and at least one VM in each")
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
		p.addError("%d of generate, call, fault, note, stop, expect; want exactly one", n)
		return
	}
	if e.At < 0 {
		p.addError("at: %s must not be negative", e.At.D())
	}
	switch {
	case e.Generate != nil:
		p.checkID(e.Generate.ID, ids)
		if e.Generate.Prompt == "" || e.Generate.MaxTokens < 1 {
			p.addError("generate: want a prompt and maxTokens")
		}
	case e.Call != nil:
		p.checkID(e.Call.ID, ids)
		if e.Call.Route == "" {
			p.addError("call: want a route")
		}
	case e.Fault != nil:
		p.checkFault(e.Fault)
	case e.Stop != nil:
		if (e.Stop.VM == "") == !e.Stop.Rolling {
			p.addError("stop: want either vm or rolling")
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
		p.addError("id %q is empty or used twice", id)
	}
	ids[id] = true
}

func (p *parser) checkExpect(x *Expect, ids map[string]bool) {
	switch {
	case x.Note != 0 && x.Within == 0:
		p.addError("expect: note %d needs \"within\"", x.Note)
	case x.Note == 0 && !ids[x.ID]:
		p.addError("expect: no request has the id %q", x.ID)
	case x.Note == 0 && len(x.Outcome) == 0:
		p.addError("expect: want an outcome")
	}
	for _, o := range x.Outcome {
		if !slices.Contains([]Outcome{Whole, Refused, Cut}, o) {
			p.addError("expect: unknown outcome %q", o)
		}
	}
}

func (p *parser) checkFault(f *Fault) {
	spec, ok := faults[f.Kind]
	if !ok {
		p.addError("fault: unknown kind %q", f.Kind)
		return
	}
	if spec.needsTarget && f.Target == "" {
		p.addError("fault: %s needs a target", f.Kind)
	}
	if spec.needsOther && f.Other == "" {
		p.addError("fault: %s needs \"other\"", f.Kind)
	}
	if spec.needsDuration && f.For <= 0 {
		p.addError("fault: %s needs \"for\"", f.Kind)
	}
}

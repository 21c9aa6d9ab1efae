package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got.
type answer struct {
	attempt  string
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
	took     time.Duration
	sentAt   time.Time
	vm       *vm
}

// send sends one attempt on a new channel and reads its answer.
func (w *world) send(v *vm, method, path string, limit time.Duration, body string, header map[string]string) answer {
	a := answer{attempt: fmt.Sprintf("%016x", rand.Uint64())}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+v.front+path, strings.NewReader(body))
	if err != nil {
		w.cannotRun(err)
	}
	r.Host = "ficu95.example"
	r.Header.Set("Attempt-Id", a.attempt)
	r.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	r.Header.Set("X-Api-Key", "xd9dnn2ctnfzs989anu6")
	for k, x := range header {
		r.Header.Set(k, x)
	}
	began := time.Now()
	a.sentAt, a.vm = began, v
	w.note("sent", "attempt", a.attempt, "machine", v.name, "path", path)
	t := &http.Transport{DisableKeepAlives: false, DisableCompression: true}
	defer t.CloseIdleConnections()
	answered, err := (&http.Client{Transport: t}).Do(r)
	if err != nil {
		a.err = err
	} else {
		raw, err := io.ReadAll(answered.Body)
		_ = answered.Body.Close()
		a.status, a.header, a.body, a.complete, a.err = answered.StatusCode, answered.Header, string(raw), err == nil, err
	}
	a.took = time.Since(began)
	w.note("answered", "attempt", a.attempt, "status", a.status, "seal", a.header.Get("Server-Seal"), "encoding", a.header.Get("Content-Encoding"),
		"bytes", len(a.body), "complete", a.complete, "error", fmt.Sprint(a.err), "tookMs", a.took.Milliseconds())
	return a
}

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Names in the config and the store, and headers.
const (
	app          = "svc-app"
	llm          = "svc-llm"
	kindConfig   = "config"
	kindServers  = "servers"
	mainName     = "main"
	fieldName    = "name"
	fieldService = "service"
	headerID     = "Attempt-Id"
	headerSeal   = "Server-Seal"
	plainPath    = "/puxa403/"
	streamPath   = "/lohu930/"
	zoneShubra   = "shubra"
)

// zones are the zones of the cases that have several.
var zones = []string{zoneShubra, "helwan", "giza"}

// engineSlots is the number of requests that an engine runs at once.
const engineSlots = 12

const (
	host = "ficu95.example"
	key  = "xd9dnn2ctnfzs989anu6"
)

// client is a client's kept channel to a VM.
type client struct {
	vm     *vm
	conn   net.Conn
	reader *bufio.Reader
}

func (c *client) open() error {
	if c.conn != nil {
		return nil
	}
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(context.Background(), "tcp", c.vm.front())
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// head returns the header of a request.
func head(method, path, id string, deadlineMS, length int, more ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\n", method, path, host, id, deadlineMS, key)
	for _, line := range more {
		b.WriteString(line + "\r\n")
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	return b.String() + "\r\n"
}

// result is what a client saw: a status with the body, or the error with which the channel ended.
type result struct {
	status int
	body   string
	err    error
	header http.Header
}

// do sends a request and reads the answer.  The channel is kept if both sides keep it.
func (c *client) do(request string, body []byte, limit time.Duration) result {
	if err := c.open(); err != nil {
		return result{err: fmt.Errorf("no channel: %w", err)}
	}
	c.logSent(request)
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := c.conn.Write(append([]byte(request), body...)); err != nil {
		c.close()
		return c.logAnswer(request, result{err: fmt.Errorf("writing: %w", err)})
	}
	return c.logAnswer(request, c.read(strings.HasPrefix(request, "HEAD")))
}

// doOver is like do, over a link, while an early answer is read.
func (c *client) doOver(l *link, request string, body []byte, limit time.Duration) result {
	if err := c.open(); err != nil {
		return result{err: fmt.Errorf("no channel: %w", err)}
	}
	c.logSent(request)
	conn := c.conn
	_ = conn.SetDeadline(time.Now().Add(limit))
	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = l.write(conn, append([]byte(request), body...))
	}()
	r := c.read(false)
	select {
	case <-written:
	default: // the answer came before the whole request was sent
		c.close()
		<-written
	}
	return c.logAnswer(request, r)
}

// logSent writes to the record that a request is sent, by its first line.
func (c *client) logSent(request string) {
	c.vm.harness.log("client at %s sends %s", c.vm.name, strings.TrimSuffix(firstLine(request), " HTTP/1.1"))
}

// logAnswer writes to the record how a request was answered.
func (c *client) logAnswer(request string, r result) result {
	line := strings.TrimSuffix(firstLine(request), " HTTP/1.1")
	if r.err != nil {
		c.vm.harness.log("client at %s: %s: status %d, %d bytes, %v", c.vm.name, line, r.status, len(r.body), r.err)
		return r
	}
	c.vm.harness.log("client at %s: %s: status %d, %d bytes", c.vm.name, line, r.status, len(r.body))
	return r
}

func firstLine(request string) string {
	line, _, _ := strings.Cut(request, "\r\n")
	return line
}

func (c *client) read(isHead bool) result {
	method := http.MethodPost
	if isHead {
		method = http.MethodHead
	}
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.close()
		return result{err: err}
	}
	raw, err := io.ReadAll(r.Body)
	if err != nil || r.Close {
		c.close()
	}
	return result{status: r.StatusCode, body: string(raw), err: err, header: r.Header}
}

// route and config build a config of the form that PROTOCOL.md and fleetbench wire show.
func route(name, prefix, kind, service string, timeoutMS, sloMS, attempts int, resumable bool) map[string]any {
	r := map[string]any{
		fieldName: name, "hostname": host, "path_prefix": prefix, "type": kind, "timeout_ms": timeoutMS, "slo_ms": sloMS, "priority": 1,
		fieldService: service, "attempts": attempts, "public": false,
	}
	if kind == "streaming" {
		r["sticky"], r["resumable"], r["itl_target_ms"] = true, resumable, 700
	}
	return r
}

func config(routes []map[string]any, services ...map[string]any) map[string]any {
	return map[string]any{
		"version": 7, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{fieldName: "huka270", "api_keys": []string{key}, "priority": 1}},
	}
}

func plainService() map[string]any { return serviceOf(app) }

func serviceOf(name string) map[string]any {
	return map[string]any{fieldName: name, "health_path": "/healthz", "max_conns": 214, "protocol": "h1", "tls": false}
}

func engineService() map[string]any {
	s := serviceOf(llm)
	s["engine"] = map[string]any{
		"slots": engineSlots, "kv_capacity": 55000, "kv_bytes": 163840, "link_mbps": 1100000.0, "moves": false, "backups": false, "stride": 7, "most": 12,
		"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 4.0, "models": []any{map[string]any{fieldName: "m"}},
	}
	return s
}

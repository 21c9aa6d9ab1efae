package gladelog

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// The keys of the fields that RequestLines reads; hclog writes those with an @ itself.
const (
	keyRequest = "request"
	keyServer  = "server"
	keyMessage = "@message"
	keyTime    = "@timestamp"
)

const (
	// serverLineMargin extends the time span of a request's lines, in which lines about its servers are included.
	serverLineMargin = time.Second
	// maxLineBytes bounds one line of a log.
	maxLineBytes = 1 << 20
)

// Line is one line of a decision log.
type Line struct {
	// Source is the text before the line's JSON, such as the name of the VM that wrote it.
	Source string
	Time   time.Time
	Fields map[string]any
}

// String formats the time, source and message, and then the other fields in the order of their keys.
func (l Line) String() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s %v", l.Time.Format("15:04:05.000"), l.Source, l.Fields[keyMessage])
	keys := make([]string, 0, len(l.Fields))
	for key := range l.Fields {
		if !strings.HasPrefix(key, "@") && key != keyRequest {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		_, _ = fmt.Fprintf(&b, " %s=%v", key, l.Fields[key])
	}
	return b.String()
}

// text returns the value of a string field, or an empty string.
func (l Line) text(key string) string {
	s, _ := l.Fields[key].(string)
	return s
}

// RequestLines returns the lines of all VMs about one request, and the lines about its servers at that time, ordered by
// time.
//
// Text that is not a line of a decision log is skipped.
func RequestLines(logs io.Reader, request string) ([]Line, error) {
	var own, others []Line
	servers := map[string]bool{}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Text())
		switch {
		case !ok:
		case line.text(keyRequest) == request:
			own = append(own, line)
			servers[line.text(keyServer)] = true
		case line.text(keyRequest) == "" && line.text(keyServer) != "":
			others = append(others, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrap(err, "reading the decision log")
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(own, byTime)
	if len(own) == 0 {
		return nil, nil
	}
	from, to := own[0].Time.Add(-serverLineMargin), own[len(own)-1].Time.Add(serverLineMargin)
	for _, line := range others {
		if servers[line.text(keyServer)] && line.Time.After(from) && line.Time.Before(to) {
			own = append(own, line)
		}
	}
	slices.SortStableFunc(own, func(a, b Line) int { return cmp.Or(byTime(a, b), cmp.Compare(a.Source, b.Source)) })
	return own, nil
}

func parseLine(text string) (Line, bool) {
	source, rest, ok := strings.Cut(text, "{")
	if !ok {
		return Line{}, false
	}
	line := Line{Source: strings.Join(strings.Fields(source), " ")}
	if json.Unmarshal([]byte("{"+rest), &line.Fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, line.text(keyTime))
	line.Time = at
	return line, err == nil
}

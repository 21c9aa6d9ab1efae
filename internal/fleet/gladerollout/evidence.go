package gladerollout

import (
	"time"
)

const (
	// window is the age at which runs leave the reports. It covers the longest time limit of an order, 16 s, and leaves
	// some seconds before the order in which the old version is measured.
	window = 24 * time.Second
	// minGapEvents is the number of events from which on a mean gap is taken as a measurement.
	minGapEvents = 4
	// maxReportedServers bounds the servers of a version that one report names. Servers with failures come first.
	maxReportedServers = 24
)

// ageBounds are the limits of the classes by age in which runs are counted. Recent runs need finer classes: a version
// that turned bad some seconds ago shows in them only.
var ageBounds = []time.Duration{
	0, 500 * time.Millisecond, 1 * time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 6 * time.Second, 8 * time.Second,
	10 * time.Second, 12 * time.Second, 16 * time.Second, window,
}

// Evidence is what one VM has seen of a service's requests since window ago, by the time at which they began. A report
// is complete in itself: it replaces the earlier ones, and makes up for lost ones.
type Evidence struct {
	VM string `json:"vm"`
	// Start distinguishes the incarnations of a VM.
	Start   int64  `json:"start"`
	Service string `json:"service"`
	// Versions holds what was seen, by version.
	Versions map[string]VersionEvidence `json:"versions,omitempty"`
	// Age is the time since the report arrived, set by the receiver.
	Age time.Duration `json:"-"`
}

// VersionEvidence is what one VM has seen of a version.
type VersionEvidence struct {
	// Routes holds the counts by route and class of age.
	Routes map[string]ageCounts `json:"routes"`
	// Servers holds the counts by the hash of the server's identifier.
	Servers serverCounts `json:"servers"`
}

// counts are the requests of one version, route and class of age.
type counts struct {
	begun, failed, inconclusive int
	// first counts the answered requests by the time to the first event, open those that wait for it by their age, or were
	// abandoned, and
	// gaps the requests by the mean gap between their events.
	first, open, gaps histogram
}

// ageCounts holds counts by class of age. It is encoded as text, see code.go.
type ageCounts map[int]*counts

// serverCount is what was seen of one server.
type serverCount struct{ begun, failed int }

// serverCounts holds the counts by the hash of the server's identifier. It is encoded as text, see code.go.
type serverCounts map[string]serverCount

// add counts a run.
func (e *Evidence) add(u *Run, now time.Time) {
	if e.Versions == nil {
		e.Versions = map[string]VersionEvidence{}
	}
	v, ok := e.Versions[u.version]
	if !ok {
		v = VersionEvidence{Routes: map[string]ageCounts{}, Servers: serverCounts{}}
		e.Versions[u.version] = v
	}
	if v.Routes[u.route] == nil {
		v.Routes[u.route] = ageCounts{}
	}
	class := ageClass(now.Sub(u.began))
	if v.Routes[u.route][class] == nil {
		v.Routes[u.route][class] = &counts{}
	}
	v.Routes[u.route][class].addRun(u, now)
	if u.conclusive() {
		s := v.Servers[serverHash(u.server)]
		s.begun++
		if u.failed() {
			s.failed++
		}
		v.Servers[serverHash(u.server)] = s
	}
}

func (u *Run) conclusive() bool {
	return u.ended.IsZero() || u.outcome == Succeeded || u.outcome == Failed
}
func (u *Run) failed() bool { return !u.ended.IsZero() && u.outcome == Failed }

func (c *counts) addRun(u *Run, now time.Time) {
	c.begun++
	switch {
	case !u.conclusive():
		c.inconclusive++
	case u.failed():
		c.failed++
	}
	if d, answered, ok := u.latency(now); ok {
		if answered {
			c.first.add(bucket(d), 1)
		} else {
			c.open.add(bucket(d), 1)
		}
	}
	if d, ok := u.gap(now); ok {
		c.gaps.add(bucket(d), 1)
	}
}

// merge adds other counts.
func (c *counts) merge(o *counts) {
	c.begun += o.begun
	c.failed += o.failed
	c.inconclusive += o.inconclusive
	c.first.merge(&o.first)
	c.open.merge(&o.open)
	c.gaps.merge(&o.gaps)
}

// conclusive returns the number of requests that say something about the version, including those in progress.
func (c *counts) conclusive() int { return c.begun - c.inconclusive }

// answers returns the number of requests whose server has answered or failed.
func (c *counts) answers() int { return c.first.total() + c.failed }

// Counts returns the requests of a version that began in the window, and those of them that failed.
func (e Evidence) Counts(version string) (begun, failed int) {
	for _, r := range e.Versions[version].Routes {
		for _, k := range r {
			begun += k.begun
			failed += k.failed
		}
	}
	return begun, failed
}

// ageClass returns the class of an age.
func ageClass(d time.Duration) int {
	for i := len(ageBounds) - 2; i > 0; i-- {
		if d >= ageBounds[i] {
			return i
		}
	}
	return 0
}

package gladestandin

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/eelgrassglade/eelgrassglade/gladestore"
)

// PlatformFaults are the faults of a Platform. The zero value means none.
type PlatformFaults struct {
	// Down closes the connection of every call without a response.
	Down bool `json:"down,omitempty"`
	// Delay is the time added to each call, in nanoseconds in JSON.
	Delay time.Duration `json:"delay,omitempty"`
	// LoseAnswers is the number of further writes that are applied without a response.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// LoseKind restricts LoseAnswers to one kind of object, if set.
	LoseKind string `json:"loseKind,omitempty"`
	// StaleLists makes list calls return the lists of the time when it was set.
	StaleLists bool `json:"staleLists,omitempty"`
	// SkipEvents is the number of further changes that no watch reports.
	SkipEvents int `json:"skipEvents,omitempty"`
	// CutOff lists the failure domains and hosts whose calls fail as with Down.
	CutOff []string `json:"cutOff,omitempty"`
}

// PlatformLimits are the largest rates of calls that a Platform accepts.
type PlatformLimits struct {
	// Reads is the rate of reads per second; zero means 2000. Each open watch counts as one read per second.
	Reads float64
	// Writes is the rate of writes per second; zero means 500.
	Writes float64
}

// The default limits, per second.
const (
	defaultReads  = 2000
	defaultWrites = 500
)

// PlatformCounts counts the calls to a Platform since its start.
type PlatformCounts struct {
	Reads         int `json:"reads"`
	Writes        int `json:"writes"`
	WatchesOpened int `json:"watchesOpened"`
	// Watches is the number of open watches.
	Watches     int `json:"watches"`
	RateLimited int `json:"rateLimited"`
	// Kinds counts the calls by kind of object; the list of VMs has the kind "vms".
	Kinds map[string]int `json:"kinds"`
}

// Calls returns the number of reads, writes and opened watches.
func (c *PlatformCounts) Calls() int {
	return c.Reads + c.Writes + c.WatchesOpened
}

type platformLimiter struct {
	limits PlatformLimits
	reads  *rate.Limiter
	writes *rate.Limiter
}

// SetFaults replaces the faults. Down and CutOff end all open watches.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.StaleLists && !p.faults.StaleLists {
		p.staleLists = map[string]gladestore.List{}
		for kind := range p.objects {
			p.staleLists[kind] = p.list(kind, "")
		}
	}
	p.faults = f
	if f.Down || len(f.CutOff) > 0 {
		p.cutWatches()
	}
}

// Faults returns the current faults with the remaining numbers of LoseAnswers and SkipEvents.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults
	f.CutOff = slices.Clone(f.CutOff)
	return f
}

// SetLimits replaces the limits.
func (p *Platform) SetLimits(l PlatformLimits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter = newPlatformLimiter(l)
}

// CutWatches ends all open watches.
func (p *Platform) CutWatches() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutWatches()
}

// Compact removes the history of changes, so that watches from earlier versions are refused.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = nil
	p.compacted = p.version
}

// Counts returns the counts of the calls.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts
	c.Kinds = maps.Clone(c.Kinds)
	return c
}

func (p *Platform) cutWatches() {
	p.watchCuts++
	p.notifyWatches()
}

// admit counts a call, applies the faults and limits to it and reports whether to serve it. It writes the response of
// a call over the limit.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, kind string) bool {
	p.mu.Lock()
	delay := p.faults.Delay
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	p.mu.Lock()
	broken := p.faults.Down || p.isCutOff(r)
	allowed := broken || p.count(r, kind)
	p.mu.Unlock()
	if broken {
		panic(http.ErrAbortHandler)
	}
	if !allowed {
		w.WriteHeader(http.StatusTooManyRequests)
	}
	return allowed
}

func (p *Platform) isCutOff(r *http.Request) bool {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	return slices.Contains(p.faults.CutOff, r.Header.Get(gladestore.HeaderFailureDomain)) ||
		slices.Contains(p.faults.CutOff, host)
}

func (p *Platform) count(r *http.Request, kind string) bool {
	if p.limiter == nil {
		p.limiter = newPlatformLimiter(PlatformLimits{})
	}
	if p.counts.Kinds == nil {
		p.counts.Kinds = map[string]int{}
	}
	p.counts.Kinds[kind]++
	limiter := p.limiter.writes
	switch {
	case r.Method != http.MethodGet:
		p.counts.Writes++
	case r.URL.Query().Get("watch") != "":
		p.counts.WatchesOpened++
		limiter = p.limiter.reads
	default:
		p.counts.Reads++
		limiter = p.limiter.reads
	}
	p.limiter.reads.SetLimit(rate.Limit(max(0, p.limiter.limits.Reads-float64(p.counts.Watches))))
	if limiter.Allow() {
		return true
	}
	p.counts.RateLimited++
	return false
}

// takeLostAnswer reports whether the response to a write is to be lost, and counts it if so.
func (p *Platform) takeLostAnswer(kind string) bool {
	if p.faults.LoseAnswers == 0 || p.faults.LoseKind != "" && p.faults.LoseKind != kind {
		return false
	}
	p.faults.LoseAnswers--
	return true
}

func newPlatformLimiter(l PlatformLimits) *platformLimiter {
	if l.Reads == 0 {
		l.Reads = defaultReads
	}
	if l.Writes == 0 {
		l.Writes = defaultWrites
	}
	return &platformLimiter{
		limits: l,
		reads:  rate.NewLimiter(rate.Limit(l.Reads), int(l.Reads)),
		writes: rate.NewLimiter(rate.Limit(l.Writes), int(l.Writes)),
	}
}

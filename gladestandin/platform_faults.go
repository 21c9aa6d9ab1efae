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

// PlatformFaults is how the platform fails; its zero value is no fault.
type PlatformFaults struct {
	// Down refuses every call with a broken connection.
	Down bool `json:"down,omitempty"`
	// Delay is added to each call.
	Delay time.Duration `json:"delay,omitempty"`
	// LoseAnswers is the number of coming writes that are applied without an answer.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// LoseKind limits LoseAnswers to one kind of object, if set.
	LoseKind string `json:"loseKind,omitempty"`
	// StaleLists answers lists as they were when this was set.
	StaleLists bool `json:"staleLists,omitempty"`
	// SkipEvents is the number of coming changes that no watch tells.
	SkipEvents int `json:"skipEvents,omitempty"`
	// CutOff lists the failure domains, or hosts, whose calls do not get through.
	CutOff []string `json:"cutOff,omitempty"`
}

// PlatformLimits are the rates that the platform takes.
type PlatformLimits struct {
	// Reads and Writes are calls per second; zero means 2000 and 500.  An open watch takes one read per second.
	Reads  float64
	Writes float64
}

const (
	defaultReads  = 2000
	defaultWrites = 500
)

// PlatformCounts is what a platform has been asked since it started.
type PlatformCounts struct {
	Reads         int `json:"reads"`
	Writes        int `json:"writes"`
	WatchesOpened int `json:"watchesOpened"`
	// Watches is the number of watches that wait now.
	Watches     int `json:"watches"`
	RateLimited int `json:"rateLimited"`
	// Kinds counts the calls on each kind of object, and of the list of VMs as "vms".
	Kinds map[string]int `json:"kinds"`
}

// Calls returns all calls but waiting watches.
func (c *PlatformCounts) Calls() int {
	return c.Reads + c.Writes + c.WatchesOpened
}

type platformLimiter struct {
	limits PlatformLimits
	reads  *rate.Limiter
	writes *rate.Limiter
}

// SetFaults replaces the faults, also for calls that wait now.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.StaleLists && !p.faults.StaleLists {
		p.stale = map[string]gladestore.List{}
		for kind := range p.objects {
			p.stale[kind] = p.list(kind, "")
		}
	}
	p.faults = f
	if f.Down || len(f.CutOff) > 0 {
		p.cutWatches()
	}
}

// Faults returns the faults that are left.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults
	f.CutOff = slices.Clone(f.CutOff)
	return f
}

// SetLimits replaces the rates.
func (p *Platform) SetLimits(l PlatformLimits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter = newPlatformLimiter(l)
}

// CutWatches ends all watches that wait now.
func (p *Platform) CutWatches() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutWatches()
}

// Compact forgets the changes up to now, so that watches from older versions are refused.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = nil
	p.compacted = p.version
}

// Counts returns what the platform has been asked.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts
	c.Kinds = maps.Clone(c.Kinds)
	return c
}

func (p *Platform) cutWatches() {
	p.cuts++
	p.signal()
}

// admit counts a call, lets faults act on it and reports whether it is to be answered.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, kind string) bool {
	p.mu.Lock()
	delay := p.faults.Delay
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	p.mu.Lock()
	broken := p.faults.Down || p.cutOff(r)
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

func (p *Platform) cutOff(r *http.Request) bool {
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

// loseAnswer reports whether the answer to a write is to be lost.
func (p *Platform) loseAnswer(kind string) bool {
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

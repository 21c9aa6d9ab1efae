package gladebudget

import (
	"sync"
	"time"
)

const (
	// buckets divide the window, so that it slides.
	buckets = 10
	// margin keeps the sum of all VMs below the bound while these disagree on their number.
	margin = 0.8
)

// Config configures a Budget.
type Config struct {
	// Share is the number of repeats for each request, Reserve that of all VMs without any, in one Window.
	Share, Reserve float64
	Window         time.Duration
	// VMs returns the number of VMs that divide the reserve.
	VMs func() int
}

// Budget counts the requests and repeats of each service.
type Budget struct {
	config Config

	mu       sync.Mutex
	services map[string]*window
}

// window counts one service's requests and repeats in the buckets of a sliding window.
type window struct {
	newest            int64
	requests, repeats [buckets]int
}

// New returns an empty budget.
func New(c Config) *Budget {
	return &Budget{config: c, services: map[string]*window{}}
}

// Request counts a request for a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.requests[w.newest%buckets]++
}

// Repeat counts a request that is sent once more, if the budget allows it.
func (b *Budget) Repeat(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	if float64(sum(&w.repeats)) >= b.allowed(w) {
		return false
	}
	w.repeats[w.newest%buckets]++
	return true
}

// Left returns how many repeats a service has left in the window.
func (b *Budget) Left(service string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	return b.allowed(w) - float64(sum(&w.repeats))
}

func (b *Budget) allowed(w *window) float64 {
	return margin * (b.config.Share*float64(sum(&w.requests)) + b.config.Reserve/float64(max(1, b.config.VMs())))
}

func (b *Budget) window(service string, now time.Time) *window {
	at := now.UnixNano() / max(1, int64(b.config.Window)/buckets)
	w := b.services[service]
	if w == nil {
		w = &window{newest: at}
		b.services[service] = w
	}
	// A clock that steps back moves nothing; one that steps ahead empties the window, which allows less.
	for ; w.newest < at && at-w.newest < buckets; w.newest++ {
		w.requests[(w.newest+1)%buckets], w.repeats[(w.newest+1)%buckets] = 0, 0
	}
	if w.newest < at {
		*w = window{newest: at}
	}
	return w
}

func sum(counts *[buckets]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

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

// Counts are the requests and repeats of one service at one VM in the window.
type Counts struct {
	Requests int `json:"requests"`
	Repeats  int `json:"repeats,omitempty"`
}

// Budget counts the requests and repeats of each service.
type Budget struct {
	config Config

	mu       sync.Mutex
	services map[string]*window
	// peers are the counts that other VMs told, by VM and service.
	peers map[string]map[string]Counts
}

// window counts one service's requests and repeats in the buckets of a sliding window.
type window struct {
	newest            int64
	requests, repeats [buckets]int
}

// New returns an empty budget.
func New(c Config) *Budget {
	return &Budget{config: c, services: map[string]*window{}, peers: map[string]map[string]Counts{}}
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
	if b.left(service, w) < 1 {
		return false
	}
	w.repeats[w.newest%buckets]++
	return true
}

// Left returns how many repeats a service has left in the window.
func (b *Budget) Left(service string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(service, b.window(service, now))
}

// left is what this VM and the peers that it hears have left together: their part of the reserve and of their requests.
func (b *Budget) left(service string, w *window) float64 {
	requests, repeats := sum(&w.requests), sum(&w.repeats)
	for _, counts := range b.peers {
		requests += counts[service].Requests
		repeats += counts[service].Repeats
	}
	vms := 1 + len(b.peers)
	part := b.config.Reserve * float64(vms) / float64(max(vms, b.config.VMs()))
	return margin*(b.config.Share*float64(requests)+part) - float64(repeats)
}

// Counts returns this VM's counts by service.
func (b *Budget) Counts(now time.Time) map[string]Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := map[string]Counts{}
	for service := range b.services {
		w := b.window(service, now)
		if c := (Counts{Requests: sum(&w.requests), Repeats: sum(&w.repeats)}); c != (Counts{}) {
			counts[service] = c
		}
	}
	return counts
}

// SetPeer takes in what another VM has counted; nil forgets it.
func (b *Budget) SetPeer(vm string, counts map[string]Counts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if counts == nil {
		delete(b.peers, vm)
		return
	}
	b.peers[vm] = counts
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

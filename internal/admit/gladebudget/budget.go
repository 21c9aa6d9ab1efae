package gladebudget

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// bucketCount is the number of buckets into which the window is divided, so that it slides.
	bucketCount = 20
	// retryBucketCount is the number of buckets for which retries count.  The oldest bucket holds retries that are younger than the window
	// until it ends, so that it counts for one more.
	retryBucketCount = bucketCount + 1
	// safetyMargin keeps the sum over all VMs below the limit while they disagree on the number of VMs.
	safetyMargin = 0.9
	// reportShare is the share of the remaining retries that all VMs may use before they report their counts to each other.
	reportShare = 0.05
	// maxEnded is the maximum number of restarted processes whose counts are kept.
	maxEnded = 256
)

// Config configures a Budget.
type Config struct {
	// Share is the number of retries allowed per request in the window.
	// Reserve is the number of retries that all VMs together are allowed in the window without any request.
	Share, Reserve float64
	Window         time.Duration
	// VMs returns the number of VMs that share the reserve.
	VMs func() int
	// OnRetries is called when this VM has made so many retries that its peers should hear of them before the next regular report.  It must
	// not block.  It may be nil.
	OnRetries func()
}

// Counts holds the requests and retries of one service at one VM in the window.
type Counts struct {
	Requests int `json:"requests"`
	Retries  int `json:"repeats,omitempty"`
}

// Budget counts the requests and retries of each service.
type Budget struct {
	config Config

	mu       sync.Mutex
	services map[string]*slidingWindow
	// peerCounts holds the counts reported by other VMs, by VM and service.
	peerCounts map[string]map[string]Counts
	// ended holds the last counts of processes that have restarted.
	ended []endedCounts
}

// endedCounts are counts that nobody reports any more.  They count until the window has passed since they ended, as what they count was
// sent within it.
type endedCounts struct {
	counts map[string]Counts
	until  time.Time
}

// slidingWindow counts the requests and retries of one service.
type slidingWindow struct {
	newest   int64
	requests [bucketCount]int
	retries  [retryBucketCount]int
	// unreported is the number of retries since the last report to the peers, less those refunded since; it may be negative.
	unreported int
}

// New returns an empty budget.
func New(c Config) *Budget {
	return &Budget{config: c, services: map[string]*slidingWindow{}, peerCounts: map[string]map[string]Counts{}}
}

// CountRequest counts a request for a service.
func (b *Budget) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(service, now)
	w.requests[w.newest%bucketCount]++
}

// TryRetry counts a retry if the budget allows it, and reports whether it does.
func (b *Budget) TryRetry(service string, now time.Time) bool {
	counted, report := b.tryRetry(service, now)
	if report && b.config.OnRetries != nil {
		b.config.OnRetries()
	}
	return counted
}

// tryRetry also returns whether the peers should hear of the retries before the next regular report.
func (b *Budget) tryRetry(service string, now time.Time) (counted, report bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(service, now)
	remaining := b.remaining(service, w, now)
	if remaining < 1 {
		return false, false
	}
	w.retries[w.newest%retryBucketCount]++
	w.unreported++
	return true, float64(w.unreported*(1+len(b.peerCounts))) > reportShare*remaining
}

// Refund takes back a retry that reached no server.
func (b *Budget) Refund(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(service, now)
	for i := range int64(retryBucketCount) {
		if n := &w.retries[(w.newest+retryBucketCount-i)%retryBucketCount]; *n > 0 {
			*n--
			w.unreported--
			return
		}
	}
}

// Remaining returns how many retries a service has left in the window.
func (b *Budget) Remaining(service string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining(service, b.advance(service, now), now)
}

// remaining returns the retries that this VM and its peers have left together: the share of their requests plus their
// part of the reserve, less the retries already made.
func (b *Budget) remaining(service string, w *slidingWindow, now time.Time) float64 {
	requests, retries := sum(w.requests[:]), sum(w.retries[:])
	b.ended = slices.DeleteFunc(b.ended, func(e endedCounts) bool { return !now.Before(e.until) })
	for _, e := range b.ended {
		requests += e.counts[service].Requests
		retries += e.counts[service].Retries
	}
	for _, counts := range b.peerCounts {
		requests += counts[service].Requests
		retries += counts[service].Retries
	}
	vms := 1 + len(b.peerCounts)
	part := b.config.Reserve * float64(vms) / float64(max(vms, b.config.VMs()))
	return safetyMargin*(b.config.Share*float64(requests)+part) - float64(retries)
}

// Counts returns this VM's counts by service.
func (b *Budget) Counts(now time.Time) map[string]Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := map[string]Counts{}
	for service := range b.services {
		if c := b.counts(service, now); c != (Counts{}) {
			counts[service] = c
		}
	}
	return counts
}

// Report returns this VM's counts by service, for all peers.
func (b *Budget) Report(now time.Time) map[string]Counts {
	b.ReportChanges(now)
	return b.Counts(now)
}

// ReportChanges returns the counts of the services with retries since the last report, for all peers.
func (b *Budget) ReportChanges(now time.Time) map[string]Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := map[string]Counts{}
	for service, w := range b.services {
		if w.unreported != 0 {
			w.unreported = 0
			counts[service] = b.counts(service, now)
		}
	}
	return counts
}

func (b *Budget) counts(service string, now time.Time) Counts {
	w := b.advance(service, now)
	return Counts{Requests: sum(w.requests[:]), Retries: sum(w.retries[:])}
}

// SetPeerCounts replaces the counts reported by another VM; nil removes them.
func (b *Budget) SetPeerCounts(vm string, counts map[string]Counts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if counts == nil {
		delete(b.peerCounts, vm)
		return
	}
	b.peerCounts[vm] = counts
}

// RestartPeer records that a VM has restarted and counts from zero.  What its process before has reported counts until the window has passed.
func (b *Budget) RestartPeer(vm string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.peerCounts[vm]
	delete(b.peerCounts, vm)
	if len(counts) > 0 && len(b.ended) < maxEnded {
		b.ended = append(b.ended, endedCounts{counts: counts, until: now.Add(b.config.Window)})
	}
}

// UpdatePeerCounts replaces the counts reported by another VM for some services.
func (b *Budget) UpdatePeerCounts(vm string, counts map[string]Counts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	merged := maps.Clone(b.peerCounts[vm])
	if merged == nil {
		merged = map[string]Counts{}
	}
	maps.Copy(merged, counts)
	b.peerCounts[vm] = merged
}

// advance returns the window of a service after moving it to now.
func (b *Budget) advance(service string, now time.Time) *slidingWindow {
	at := now.UnixNano() / max(1, int64(b.config.Window)/bucketCount)
	w := b.services[service]
	if w == nil {
		w = &slidingWindow{newest: at}
		b.services[service] = w
	}
	// A clock that steps back leaves the window as it is. One that steps ahead empties it, which allows fewer retries.
	for ; w.newest < at && at-w.newest < retryBucketCount; w.newest++ {
		w.requests[(w.newest+1)%bucketCount], w.retries[(w.newest+1)%retryBucketCount] = 0, 0
	}
	if w.newest < at {
		*w = slidingWindow{newest: at}
	}
	return w
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

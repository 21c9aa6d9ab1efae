package gladerollout

import (
	"math"
	"time"
)

// buckets is the number of buckets of a histogram. Their bounds grow by the square root of two from 1 ms, so that the
// last one holds times from 23 s on.
const buckets = 30

// histogram counts times in buckets.
type histogram [buckets]int

// bucket returns the bucket of a time.
func bucket(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms < 1 {
		return 0
	}
	return min(int(2*math.Log2(ms)+1e-9), buckets-1)
}

// upperBound returns the time below which the times of a bucket lie.
func upperBound(bucket int) time.Duration {
	return time.Duration(math.Pow(2, float64(bucket+1)/2) * float64(time.Millisecond))
}

func (h *histogram) add(bucket, n int) { h[bucket] += n }

func (h *histogram) merge(o *histogram) {
	for i, n := range o {
		h[i] += n
	}
}

func (h *histogram) total() int { return h.from(0) }

// from returns the number of times in a bucket and those above it.
func (h *histogram) from(bucket int) int {
	total := 0
	for i := max(bucket, 0); i < buckets; i++ {
		total += h[i]
	}
	return total
}

// median returns the bucket that holds the median, and false without times.
func (h *histogram) median() (int, bool) {
	total, below := h.total(), 0
	for i, n := range h {
		below += n
		if n > 0 && 2*below >= total {
			return i, true
		}
	}
	return 0, false
}

// lowest returns the lowest bucket in use, and false without times.
func (h *histogram) lowest() (int, bool) {
	for i, n := range h {
		if n > 0 {
			return i, true
		}
	}
	return 0, false
}

package gladeline

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func timing(target, elapsed, prefill float64) Timing {
	return Timing{Target: seconds(target), Elapsed: seconds(elapsed), Prefill: seconds(prefill), MinWait: seconds(target / 8), RetryAfter: seconds(target / 4)}
}

// Guards against a wait that ends while a place would still be of use, or that leaves the caller no time to retry.
func TestMaxWaitFollowsTargetAndPrefill(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct{ target, elapsed, prefill, want float64 }{
		{10, 0, 2, 5.5},  // 8 s less a retry after 2.5 s
		{4, 0, 1, 2},     // 3 s less a retry after 1 s
		{4, 0, 2.6, 0.7}, // half of 1.4 s: a retry after 1 s would be late after any wait worth the name
		{4, 0, 3.9, 0.5}, // large prompt: the least wait
		{4, 3, 2, 0.5},   // sent again
		{10, 0, 0, 1.25}, // the rate is not known
	} {
		c.Assert(timing(x.target, x.elapsed, x.prefill).MaxWait().Round(time.Millisecond), qt.Equals, seconds(x.want), qt.Commentf("%v", x))
	}
}

// Guards against a Retry-After that is too short for the queue to have emptied, or so long that the retry misses its target too.
func TestRetryAfterMeetsTheTarget(t *testing.T) {
	c := qt.New(t)
	c.Assert(timing(10, 0, 2).RetryAfterFor(-time.Second, 0.5), qt.Equals, seconds(2.5))
	c.Assert(timing(10, 0, 2).RetryAfterFor(seconds(4), 0), qt.Equals, seconds(4))
	c.Assert(timing(10, 0, 2).RetryAfterFor(seconds(20), 0.9), qt.Equals, seconds(8))
	c.Assert(timing(10, 5.5, 2).RetryAfterFor(0, 0.9), qt.Equals, seconds(2.5))
	c.Assert(timing(10, 9, 2).RetryAfterFor(0, 0.5), qt.Equals, seconds(2.5)) // no retry can meet it
	rapid.Check(t, func(r *rapid.T) {
		x := timing(rapid.Float64Range(1, 20).Draw(r, "target"), 0, rapid.Float64Range(0.01, 10).Draw(r, "prefill"))
		x.Elapsed = x.MaxWait()
		after := x.RetryAfterFor(time.Duration(rapid.Int64Range(0, 1e10).Draw(r, "excess")), rapid.Float64Range(0, 0.999).Draw(r, "random"))
		if left := x.slack(); after <= 0 || left >= x.MinWait && after > left {
			r.Fatalf("%v after a wait of %v with %v left", after, x.Elapsed, left)
		}
	})
}

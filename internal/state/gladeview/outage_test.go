package gladeview

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a planned end of servers that is taken for entries that expired, and against the opposite after an outage.
func TestOnlyLongOutagesLetEntriesExpire(t *testing.T) {
	type event struct {
		after time.Duration
		lost  bool
	}
	const ms = time.Millisecond
	for _, test := range []struct {
		name     string
		events   []event
		expiring bool
	}{
		{"none", nil, false},
		{"a reader is lost", []event{{0, false}}, false},
		{"a reader is cut off until another one reads", []event{{0, true}, {400 * ms, true}, {500 * ms, false}}, false},
		{"a reader stays cut off beside another one", []event{{0, true}, {500 * ms, false}, {900 * ms, true}, {1100 * ms, false}, {1500 * ms, true}}, false},
		{"the store is down", []event{{0, true}, {500 * ms, true}, {1500 * ms, true}}, true},
		{"the store was down, and one reader reaches it before the others", []event{{0, true}, {1500 * ms, true}, {1600 * ms, false}, {1700 * ms, true}}, true},
		{"the store was down a while ago", []event{{0, true}, {1500 * ms, true}, {1600 * ms, false}, {4 * time.Second, false}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var o Outage
			start := time.Unix(1000, 0)
			now := start
			for _, e := range test.events {
				if now = start.Add(e.after); e.lost {
					o.RecordLost(now)
				} else {
					o.RecordReached(now)
				}
			}
			qt.Assert(t, o.MayHaveExpired(now.Add(100*ms)), qt.Equals, test.expiring)
		})
	}
}

package gladerollout

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a look at the next rule that counts as a request, or that differs from the rule that the request then gets.
func TestPeekIsTheNextChoice(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := NewSelector(func() float64 { return middlePhase })
		share := rapid.Float64Range(0, 1).Draw(r, "share")
		s.Set([]Rollout{{Service: "app", Target: "v2", Duration: time.Minute, Revision: 1, Status: Status{
			State: InProgress, Target: "v2", Share: share, DurationS: 60, Concentrate: 0.5,
		}}}, rapid.Bool().Draw(r, "current"))
		for range 20 {
			repeat := rapid.Bool().Draw(r, "repeat")
			peeked := s.Peek("app", "r", repeat)
			again := s.Peek("app", "r", repeat)
			if chosen := s.Choose("app", "r", repeat); peeked != chosen || again != chosen {
				r.Fatalf("looked up %+v and %+v, chosen %+v", peeked, again, chosen)
			}
		}
	})
}

package gladeprogress

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against calls that are repeated for good under limits that are too short for their answers.
func TestLimitsOfCallsThatTookTooLongWiden(t *testing.T) {
	base := Limits{First: ms, Pause: 2 * ms, Total: 3 * ms}
	after := func(errs ...error) Limits {
		var w Widening
		for _, err := range errs {
			w.Record("list", time.Now(), err)
		}
		qt.Check(t, w.Limits("watch", base), qt.Equals, base)
		return w.Limits("list", base)
	}
	stalled, expired := fmt.Errorf("list: %w", ErrStalled), fmt.Errorf("list: %w", context.DeadlineExceeded)
	qt.Check(t, after(), qt.Equals, base)
	qt.Check(t, after(errors.New("refused")), qt.Equals, base)
	qt.Check(t, after(stalled), qt.Equals, Limits{First: ms, Pause: 4 * ms, Total: 6 * ms})
	qt.Check(t, after(stalled, errors.New("refused"), expired), qt.Equals, Limits{First: ms, Pause: 8 * ms, Total: 12 * ms})
	qt.Check(t, after(stalled, expired, expired), qt.Equals, Limits{First: ms, Pause: 8 * ms, Total: 24 * ms})
	qt.Check(t, after(stalled, expired, nil), qt.Equals, base)
	var many []error
	for range 1000 {
		many = append(many, expired)
	}
	qt.Check(t, after(many...), qt.Equals, Limits{First: ms, Pause: 8 * ms, Total: 3 * ms << maxDoublings})
}

// Guards against calls that are given up for good before their answers begin, by a party that answers others, and against ones that wait
// longer for a party that has fallen silent.
func TestLimitUntilAnswerBeginsWidensBesideAnswersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const second = time.Second
		for _, x := range []struct {
			name     string
			answered int
			want     time.Duration
		}{
			{"no other call", 0, second},
			{"another call before the party fell silent", 1, second},
			{"two", 2, 2 * second},
			{"four", 4, 8 * second},
			{"many", 100, second << (maxDoublings - 1)},
		} {
			var w Widening
			for n := range 100 {
				began := time.Now()
				time.Sleep(second)
				if n < x.answered {
					w.Record("watch servers", began, nil)
				}
				time.Sleep(second)
				w.Record("watch config", began, ErrStalled)
			}
			qt.Check(t, w.Limits("watch config", Limits{First: second}).First, qt.Equals, x.want, qt.Commentf(x.name))
			w.Record("watch config", time.Now(), nil)
			qt.Check(t, w.Limits("watch config", Limits{First: second}).First, qt.Equals, second)
		}
	})
}

package gladeprogress

import (
	"context"
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against calls that are repeated for good under limits that are too short for their answers.
func TestLimitsOfCallsThatTookTooLongWiden(t *testing.T) {
	base := Limits{First: ms, Pause: 2 * ms, Total: 3 * ms}
	after := func(errs ...error) Limits {
		var w Widening
		for _, err := range errs {
			w.Record("list", err)
		}
		qt.Check(t, w.Limits("watch", base), qt.Equals, base)
		return w.Limits("list", base)
	}
	stalled, expired := fmt.Errorf("list: %w", ErrStalled), fmt.Errorf("list: %w", context.DeadlineExceeded)
	qt.Check(t, after(), qt.Equals, base)
	qt.Check(t, after(errors.New("refused")), qt.Equals, base)
	qt.Check(t, after(stalled), qt.Equals, Limits{First: 2 * ms, Pause: 4 * ms, Total: 6 * ms})
	qt.Check(t, after(stalled, errors.New("refused"), expired), qt.Equals, Limits{First: 4 * ms, Pause: 8 * ms, Total: 12 * ms})
	qt.Check(t, after(stalled, expired, expired), qt.Equals, Limits{First: 4 * ms, Pause: 8 * ms, Total: 24 * ms})
	qt.Check(t, after(stalled, expired, nil), qt.Equals, base)
	var many []error
	for range 1000 {
		many = append(many, expired)
	}
	qt.Check(t, after(many...).Total, qt.Equals, 3*ms<<maxTotalDoublings)
}

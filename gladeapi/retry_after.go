package gladeapi

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ErrRetryAfter means that a Retry-After value cannot be used.
var ErrRetryAfter = eris.New("unusable Retry-After")

// MaxRetryAfter is the longest backoff that a server may ask for; longer ones count as this one.
const MaxRetryAfter = 5 * time.Minute

// ParseRetryAfter parses Retry-After values: seconds with fractions. Of several the longest holds, and those that are no finite
// number of at least zero are ignored, such as dates. It returns zero without a value, and ErrRetryAfter if none can be used.
func ParseRetryAfter(texts []string) (time.Duration, error) {
	longest := -1.0
	for _, t := range texts {
		for s := range strings.SplitSeq(t, ",") {
			if v, err := strconv.ParseFloat(strings.TrimSpace(s), 64); err == nil && !math.IsNaN(v) && !math.IsInf(v, 0) && v >= 0 {
				longest = max(longest, v)
			}
		}
	}
	switch {
	case longest >= 0:
		return time.Duration(min(longest, MaxRetryAfter.Seconds()) * float64(time.Second)), nil
	case len(texts) > 0:
		return 0, eris.Wrapf(ErrRetryAfter, "%.100q", texts)
	}
	return 0, nil
}

package gladedaemon

import (
	"context"
	"time"
)

// runPeriodically calls f at once and then at each interval until ctx is done.
func runPeriodically(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

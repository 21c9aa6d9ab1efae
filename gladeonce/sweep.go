package gladeonce

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"github.com/eelgrassglade/eelgrassglade/gladestore"
)

// Shards is the number of shards into which claims are divided by name.
const Shards = 1 << (4 * shardDigits)

const maxDeletesPerSecond = 2

// Sweep deletes the claims of one shard that are older than the retention time at now, and returns the number of those
// that it deleted itself. It limits the rate of deletions.
func (o *Once) Sweep(ctx context.Context, shard int, now time.Time) (int, error) {
	o.reads.Inc(1)
	list, err := o.config.Store.List(ctx, KindClaims, fmt.Sprintf("%0*x", shardDigits, shard))
	if err != nil {
		return 0, err
	}
	limiter := rate.NewLimiter(maxDeletesPerSecond, 1)
	removed := 0
	for _, object := range list.Objects {
		if !o.expired(object, now) {
			continue
		}
		if err := limiter.Wait(ctx); err != nil {
			return removed, err
		}
		o.writes.Inc(1)
		switch err := o.config.Store.Delete(ctx, KindClaims, object.Name, object.Version); {
		case err == nil:
			removed++
		case errors.Is(err, gladestore.ErrConflict) || errors.Is(err, gladestore.ErrNotFound): // another VM was first
		default:
			return removed, err
		}
	}
	return removed, nil
}

func (o *Once) expired(object gladestore.Object, now time.Time) bool {
	var c Claim
	if err := json.Unmarshal(object.Value, &c); err != nil {
		return false
	}
	return now.Sub(c.Claimed) > o.config.Retention && now.Sub(c.Until) > o.config.Retention
}

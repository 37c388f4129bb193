package kernel

import (
	"context"
	"time"
)

// Pause waits for a time, or until ctx ends.
func Pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

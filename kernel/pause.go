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

// Wake tells the goroutine that waits on due that there is work. due holds one signal: one
// that comes while another waits adds nothing, since both are served by the same run.
func Wake(due chan<- struct{}) {
	select {
	case due <- struct{}{}:
	default:
	}
}

package kernel

import (
	"context"
	"time"
)

// Pause sleeps for the given time, or until ctx ends.
func Pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Wake signals the goroutine that receives from due that there is work. due has a buffer
// of one: a signal sent while another is pending is dropped, because one run of the
// receiver handles both.
func Wake(due chan<- struct{}) {
	select {
	case due <- struct{}{}:
	default:
	}
}

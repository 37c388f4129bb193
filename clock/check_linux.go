package clock

import "github.com/loomcleat/loomcleat/result"

// Check returns a result.SettingsInvalid error on a machine without such a clock.
func Check() error {
	if bootNanoseconds() < 0 {
		return result.New(result.SettingsInvalid, "the kernel has no CLOCK_BOOTTIME, so that suspensions of the machine can't be seen")
	}
	return nil
}

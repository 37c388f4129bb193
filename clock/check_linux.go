package clock

import "github.com/loomcleat/loomcleat/result"

// Check returns a result.SettingsInvalid error if the kernel does not have
// CLOCK_BOOTTIME.
func Check() error {
	if bootNanoseconds() < 0 {
		return result.New(result.SettingsInvalid, "the kernel has no CLOCK_BOOTTIME, so suspensions of the machine cannot be detected")
	}
	return nil
}

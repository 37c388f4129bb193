package quota

import "time"

// tallySlices is the number of slices into which a window is divided for counting.
const tallySlices = 5

// tally counts requests over approximately one window: the current slice and the
// tallySlices-1 before it.
type tally struct {
	slices [tallySlices]tallySlice
}

type tallySlice struct {
	number   int64 // time divided by the length of a slice
	admitted int
	refused  int
}

func sliceNumber(now time.Time, window time.Duration) int64 {
	return now.UnixNano() / int64(window/tallySlices)
}

func (t *tally) add(now time.Time, window time.Duration, admitted bool) {
	number := sliceNumber(now, window)
	slice := &t.slices[uint64(number)%tallySlices]
	if slice.number != number {
		*slice = tallySlice{number: number}
	}
	if admitted {
		slice.admitted++
	} else {
		slice.refused++
	}
}

func (t *tally) sum(now time.Time, window time.Duration) (admitted, refused int) {
	latest := sliceNumber(now, window)
	for _, slice := range t.slices {
		if latest-slice.number < tallySlices {
			admitted += slice.admitted
			refused += slice.refused
		}
	}
	return admitted, refused
}

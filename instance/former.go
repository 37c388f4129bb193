package instance

import "time"

// formerIncarnation is an incarnation that has ended, or that has announced that it leaves.
type formerIncarnation struct {
	born int64
	// Highest sequence of its heartbeats.
	sequence uint64
	// It has announced that it leaves, so that no heartbeat of it counts any more.
	left bool
	// Until then, heartbeats of any start of the back end count as late ones: its announcement did
	// not say which start it was.
	anyStartUntil time.Time
	// Until then, heartbeats of earlier starts, by the clock of the back end, count as late ones. After that,
	// the clock must have been set back.
	earlierUntil time.Time
	// Number of incarnations that were added before.
	order uint64
}

// latestHeartbeat is how late a heartbeat is assumed to arrive at most, where its sender can't be told
// from a later start of the same back end.
const latestHeartbeat = 30 * time.Second

// formerIncarnations holds the last former incarnation of each back end, by id. The zero value
// is empty.
type formerIncarnations struct {
	byID  map[string]formerIncarnation
	added uint64
}

// maximumFormer is the maximum number of former incarnations that are remembered.
const maximumFormer = 64

// add records a former incarnation. The latest start of a back end is kept; what holds for an earlier
// one then holds for it too.
func (f *formerIncarnations) add(now time.Time, id string, ended formerIncarnation) {
	ended.earlierUntil = now.Add(latestHeartbeat)
	known, exists := f.byID[id]
	if exists && known.born > ended.born {
		known.left = known.left || ended.left
		known.earlierUntil = ended.earlierUntil
		ended = known
	}
	if exists && known.born == ended.born {
		ended.left = ended.left || known.left
		ended.sequence = max(ended.sequence, known.sequence)
	}
	if ended.anyStartUntil.Before(known.anyStartUntil) {
		ended.anyStartUntil = known.anyStartUntil
	}
	if !exists && len(f.byID) >= maximumFormer {
		f.removeOldest()
	}
	if f.byID == nil {
		f.byID = map[string]formerIncarnation{}
	}
	f.added++
	ended.order = f.added
	f.byID[id] = ended
}

// addLeft records that an incarnation has announced that it leaves. born is 0 if the announcement
// did not tell it.
func (f *formerIncarnations) addLeft(now time.Time, id string, born int64) {
	left := formerIncarnation{born: born, left: true}
	if born == 0 {
		left.born = f.byID[id].born
		left.anyStartUntil = now.Add(latestHeartbeat)
	}
	f.add(now, id, left)
}

func (f *formerIncarnations) removeOldest() {
	oldest, order := "", f.added+1
	for id, known := range f.byID {
		if known.order < order {
			oldest, order = id, known.order
		}
	}
	delete(f.byID, oldest)
}

// removeRunning forgets a back end that has turned out to be running. What has left stays known.
func (f *formerIncarnations) removeRunning(id string) {
	if !f.byID[id].left {
		delete(f.byID, id)
	}
}

// covers reports whether a heartbeat is a late one of a former incarnation. current is whether the
// current incarnation has the same id; the start that is recorded for the id may then be the later one,
// since the clock may have been set back.
func (f *formerIncarnations) covers(now time.Time, report Report, current bool) bool {
	known, exists := f.byID[report.ID]
	switch {
	case !exists:
		return false
	case now.Before(known.anyStartUntil):
		return true
	case report.Born == known.born:
		return known.left || report.Sequence <= known.sequence
	default:
		return report.Born < known.born && !current && now.Before(known.earlierUntil)
	}
}

// knows reports whether a former incarnation with an id is known.
func (f *formerIncarnations) knows(id string) bool {
	_, exists := f.byID[id]
	return exists
}

// hasLeft reports whether a start of a back end, or a later one, is known to have announced that it
// leaves.
func (f *formerIncarnations) hasLeft(id string, born int64) bool {
	known, exists := f.byID[id]
	return exists && known.left && born <= known.born
}

// hasEnded reports whether a start of a back end is known to have ended or to be leaving. An earlier
// time of start doesn't show that, since the clock may have been set back.
func (f *formerIncarnations) hasEnded(id string, born int64) bool {
	known, exists := f.byID[id]
	return exists && born == known.born
}

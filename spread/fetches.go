package spread

import (
	"slices"
	"time"
)

// Fetches decides from which peers a process fetches a higher revision of one document. A peer that
// does not answer delays nothing: after HedgeDelay the next one that is known to hold the revision is
// asked too.
//
// Times are those of a clock that keeps running while the machine is suspended (package clock). A
// Fetches is not safe for concurrent use.
type Fetches struct {
	timing Timing
	// Revision in force in this process.
	held uint64
	// Peers that hold a higher revision, in the order of their announcements.
	holders []holder
	// When the last fetch began.
	startedAt time.Time
	// The first news of each higher revision, in ascending order of revision and time.
	news []News
}

// News is the message by which a process learned that a higher revision exists than its own.
type News struct {
	Peer     string
	Revision uint64
	At       time.Time
}

// holder is a peer that holds a higher revision.
type holder struct {
	peer     string
	revision uint64
	// The peer is being asked, and held askedFor when that began.
	asked    bool
	askedFor uint64
}

const (
	// maximumHolders bounds the peers that are remembered; the oldest ones are dropped.
	maximumHolders = 8
	// maximumFetches bounds the concurrent fetches of a document.
	maximumFetches = 3
	// maximumNews bounds the higher revisions that are remembered.
	maximumNews = 8
)

// NewFetches returns a Fetches of a process without a document.
func NewFetches(timing Timing) Fetches { return Fetches{timing: timing} }

// Observe records that a peer holds a revision. It reports whether this is the first news of a
// revision above the one in force.
func (f *Fetches) Observe(now time.Time, peer string, revision uint64) (isNews bool) {
	if revision <= f.held {
		return false
	}
	isNews = len(f.news) == 0
	f.recordNews(News{Peer: peer, Revision: revision, At: now})
	known := holder{peer: peer}
	if i := f.index(peer); i >= 0 {
		known = f.holders[i]
		f.holders = slices.Delete(f.holders, i, i+1)
	}
	known.revision = max(known.revision, revision)
	f.holders = append(f.holders, known)
	f.boundHolders()
	return isNews
}

// recordNews keeps the first news of a revision. When there is no room, a higher revision takes the
// place of the last one, whose time is kept: too early a time only leads to an early read.
func (f *Fetches) recordNews(news News) {
	if len(f.news) > 0 && news.Revision <= f.news[len(f.news)-1].Revision {
		return
	}
	if len(f.news) < maximumNews {
		f.news = append(f.news, news)
		return
	}
	f.news[len(f.news)-1].Revision = news.Revision
}

// boundHolders drops the oldest holder that is not being asked when there are too many.
func (f *Fetches) boundHolders() {
	if len(f.holders) <= maximumHolders {
		return
	}
	oldest := slices.IndexFunc(f.holders, func(known holder) bool { return !known.asked })
	f.holders = slices.Delete(f.holders, oldest, oldest+1)
}

// Next returns the next peer to fetch from, and false if there is none or it is too early for another
// fetch. The caller must call Ended when the fetch has ended, and Next again then and HedgeDelay later.
func (f *Fetches) Next(now time.Time) (peer string, found bool) {
	running, next := 0, -1
	for i, known := range f.holders {
		if known.asked {
			running++
		} else {
			next = i // the latest announcement is from the peer that most likely still runs
		}
	}
	isEarly := running > 0 && now.Sub(f.startedAt) < f.timing.HedgeDelay
	if next < 0 || running >= maximumFetches || isEarly {
		return "", false
	}
	chosen := &f.holders[next]
	chosen.asked, chosen.askedFor = true, chosen.revision
	f.startedAt = now
	return chosen.peer, true
}

// Ended records that a fetch from a peer has ended, with or without success. The peer is asked again
// once it has announced a higher revision than the one it was asked for, or the same one anew.
func (f *Fetches) Ended(peer string) {
	i := f.index(peer)
	if i < 0 {
		return
	}
	if f.holders[i].revision > max(f.holders[i].askedFor, f.held) {
		f.holders[i].asked = false
		return
	}
	f.holders = slices.Delete(f.holders, i, i+1)
}

// Adopted records the revision that is now in force. It returns the first news of a revision above the
// one before, and false if there was none.
func (f *Fetches) Adopted(revision uint64) (first News, known bool) {
	if len(f.news) > 0 {
		first, known = f.news[0], true
	}
	f.held = max(f.held, revision)
	f.news = slices.DeleteFunc(f.news, func(news News) bool { return news.Revision <= f.held })
	f.holders = slices.DeleteFunc(f.holders, func(known holder) bool { return !known.asked && known.revision <= f.held })
	return first, known
}

// IsOutdated reports whether a revision above the one in force is known to exist.
func (f *Fetches) IsOutdated() bool { return len(f.news) > 0 }

// MustReadStore reports whether the process has known for ReadDelay that a higher revision exists than
// the one in force.
func (f *Fetches) MustReadStore(now time.Time) bool {
	return f.IsOutdated() && now.Sub(f.news[0].At) >= f.timing.ReadDelay
}

// index returns the position of a peer among the holders, -1 if it is not one of them.
func (f *Fetches) index(peer string) int {
	return slices.IndexFunc(f.holders, func(known holder) bool { return known.peer == peer })
}

package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Watchers returns the count processes that watch the store: those with the highest hashes of
// their ids, in descending order. Processes with different views of the membership may choose
// different watchers, which only causes a few more requests to the store.
func Watchers(alive []string, count int) []string {
	ranked := make([]rankedProcess, len(alive))
	for i, id := range alive {
		ranked[i] = rankedProcess{id: id, rank: xxhash.Sum64String(id)}
	}
	slices.SortFunc(ranked, func(a, b rankedProcess) int { return cmp.Compare(b.rank, a.rank) })
	watchers := make([]string, 0, count)
	for _, process := range ranked[:min(count, len(ranked))] {
		watchers = append(watchers, process.id)
	}
	return watchers
}

type rankedProcess struct {
	id   string
	rank uint64
}

// Watches reports whether self is one of the Watchers. If at most count processes are known and
// self is not among them, it is treated as if it were: it has just started, and the other
// processes are about to list it.
func Watches(self string, alive []string, count int) bool {
	if slices.Contains(alive, self) {
		return slices.Contains(Watchers(alive, count), self)
	}
	if len(alive) > count {
		return false
	}
	return slices.Contains(Watchers(append(slices.Clone(alive), self), count), self)
}

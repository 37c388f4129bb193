package spread

// Probe decides when a process that waits for the store to tell it of a change
// should stop waiting and read the document anew. A store that was away may
// never answer a wait that it had taken before, and the one who waits does not
// notice. A cheap read now and then does: one that fails, and then one that
// succeeds, or one that shows a later index than the wait has told of.
//
// It is not safe for concurrent use.
type Probe struct {
	known  uint64 // highest index that was read or told
	failed bool
}

// Known records the index of the document that was read or told.
func (p *Probe) Known(index uint64) { p.known = max(p.known, index) }

// Failed records a cheap read that was not answered.
func (p *Probe) Failed() { p.failed = true }

// Answered records a cheap read that showed the document at an index, which may
// be an old one. It reports whether the document should be read anew.
func (p *Probe) Answered(index uint64) bool {
	recovered := p.failed
	p.failed = false
	return recovered || index > p.known
}

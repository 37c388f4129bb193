package membership

// unknownAddressOdds is the average number of probe rounds in which a process that knows
// live members tries one unknown address, to find parts of the mesh that it lost contact
// with.
const unknownAddressOdds = 5

// unknownAddress returns a seed or the address of a dead member to try in this probe
// round, or "".
func (m *Machine) unknownAddress() string {
	candidates, alone := m.unknownAddresses()
	if !alone && m.config.Random.IntN(unknownAddressOdds) != 0 {
		return ""
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[m.config.Random.IntN(len(candidates))]
}

// join sends a Sync to a few addresses without a known live member.
func (m *Machine) join(sends []Send) []Send {
	candidates, _ := m.unknownAddresses()
	for range min(m.config.JoinFanout, len(candidates)) {
		pick := m.config.Random.IntN(len(candidates))
		sends = append(sends, m.send(candidates[pick], Sync, nil))
		candidates = append(candidates[:pick], candidates[pick+1:]...)
	}
	return sends
}

// unknownAddresses returns the seeds and the addresses of dead members at which no
// live member is known, and whether no other live member is known at all.
func (m *Machine) unknownAddresses() (candidates []string, alone bool) {
	live := map[string]bool{m.self.Control: true}
	for _, member := range m.Members() {
		if member.Status != Dead {
			live[member.Control] = true
		}
	}
	for _, seed := range m.seeds {
		if !live[seed] {
			candidates = append(candidates, seed)
		}
	}
	for _, member := range m.Members() {
		if member.Status == Dead && !live[member.Control] {
			candidates = append(candidates, member.Control)
		}
	}
	return candidates, len(live) == 1
}

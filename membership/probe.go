package membership

import "time"

// probe is one attempt to reach a member.
type probe struct {
	// Id of the probed member.
	target string
	// Indirect probes without a reply so far.
	pending int
	// The target replied, or all probes failed.
	done bool
	// The direct probe failed.
	failed bool
}

// startProbe probes the next member and, in some rounds, sends a Sync to an address
// without a known live member.
func (m *Machine) startProbe(sends []Send) []Send {
	if target := m.nextTarget(); target != nil {
		started := &probe{target: target.ID}
		sends = append(sends, m.send(target.Control, Ping, started))
	}
	if address := m.unknownAddress(); address != "" {
		sends = append(sends, m.send(address, Sync, nil))
	}
	return sends
}

// nextTarget returns the next live member of the shuffled round and starts a new round
// when it is complete. It returns nil if there is no live member.
func (m *Machine) nextTarget() *record {
	for range 2 {
		for len(m.probeOrder) > 0 {
			id := m.probeOrder[len(m.probeOrder)-1]
			m.probeOrder = m.probeOrder[:len(m.probeOrder)-1]
			if known, exists := m.members[id]; exists && known.Status != Dead {
				return known
			}
		}
		m.probeOrder = m.liveIDs()
		m.config.Random.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	return nil
}

// liveIDs returns the ids of the other live members in order, so that a shuffle with a
// seeded source is reproducible.
func (m *Machine) liveIDs() []string {
	ids := make([]string, 0, len(m.members))
	for _, member := range m.Members() {
		if member.ID != m.self.ID && member.Status != Dead {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// handleProbeReply handles the reply to a direct or indirect probe. The reply to an indirect
// probe has OK unset if the target did not reply.
func (m *Machine) handleProbeReply(now time.Time, sent Send, reply Message) {
	if sent.Message.Kind == Ping || reply.OK {
		sent.probe.done = true
		return
	}
	sent.probe.pending--
	m.suspectIfFailed(now, sent.probe)
}

// probeIndirectly asks other members to repeat a failed probe.
func (m *Machine) probeIndirectly(now time.Time, current *probe) []Send {
	current.failed = true
	target, exists := m.members[current.target]
	if !exists || target.Status == Dead {
		return nil
	}
	sends := []Send{}
	ids := m.liveIDs()
	m.config.Random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		if len(sends) == m.config.IndirectProbes {
			break
		}
		if id == current.target {
			continue
		}
		through := m.send(m.members[id].Control, PingThrough, current)
		through.Message.Target = target.Control
		sends = append(sends, through)
	}
	current.pending = len(sends)
	m.suspectIfFailed(now, current)
	return sends
}

// suspectIfFailed suspects the target once the direct probe and all indirect ones have
// failed.
func (m *Machine) suspectIfFailed(now time.Time, current *probe) {
	if current.done || !current.failed || current.pending > 0 {
		return
	}
	current.done = true
	known, exists := m.members[current.target]
	if !exists || known.Status != Alive {
		return
	}
	suspected := known.Member
	suspected.Status = Suspect
	suspected.Accuser = m.self.ID
	m.replace(now, known, suspected)
}

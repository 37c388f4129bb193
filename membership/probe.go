package membership

import "time"

// probe is one attempt to reach a member.
type probe struct {
	target  string
	pending int  // indirect answers still missing
	done    bool // answered, or given up
	direct  bool // the direct probe has failed
}

// startProbe probes the next member, and sometimes an address where part of
// the mesh may be that this process does not know.
func (m *Machine) startProbe(now time.Time, sends []Send) []Send {
	if target := m.nextTarget(); target != nil {
		started := &probe{target: target.ID}
		sends = append(sends, m.send(target.Control, Ping, started))
	}
	if address := m.unknownAddress(); address != "" {
		sends = append(sends, m.send(address, Sync, nil))
	}
	return sends
}

// nextTarget returns the next live member of the shuffled round.
func (m *Machine) nextTarget() *record {
	for range 2 {
		for len(m.order) > 0 {
			id := m.order[len(m.order)-1]
			m.order = m.order[:len(m.order)-1]
			if known, exists := m.members[id]; exists && known.Status != Dead {
				return known
			}
		}
		m.order = m.liveIDs()
		m.config.Random.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	}
	return nil
}

// liveIDs returns the ids of live members in order, so that a shuffle with a
// seeded source is repeatable.
func (m *Machine) liveIDs() []string {
	ids := make([]string, 0, len(m.members))
	for _, member := range m.Members() {
		if member.ID != m.self.ID && member.Status != Dead {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

func (m *Machine) probeAnswered(now time.Time, sent Send, reply Message) {
	if sent.Message.Kind == Ping || reply.OK {
		sent.probe.done = true
		return
	}
	sent.probe.pending--
	m.giveUp(now, sent.probe)
}

// probeThroughOthers asks other members to repeat a failed probe.
func (m *Machine) probeThroughOthers(now time.Time, current *probe) []Send {
	current.direct = true
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
	m.giveUp(now, current)
	return sends
}

// giveUp suspects the target once the direct probe and all indirect ones have
// failed.
func (m *Machine) giveUp(now time.Time, current *probe) {
	if current.done || !current.direct || current.pending > 0 {
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

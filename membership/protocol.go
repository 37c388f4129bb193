package membership

import "time"

// Tick does what is due at the given time and returns the messages to send. It
// should be called a few times in each GossipInterval.
func (m *Machine) Tick(now time.Time) []Send {
	m.expire(now)
	sends := []Send{}
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(m.config.ProbeInterval)
		sends = m.startProbe(now, sends)
	}
	if !now.Before(m.nextGossip) {
		m.nextGossip = now.Add(m.config.GossipInterval)
		sends = m.gossip(now, sends)
		if now.Sub(m.started) < m.config.JoinTime {
			sends = m.join(sends)
		}
	}
	return sends
}

// expire declares suspects dead and forgets members that are dead for long.
func (m *Machine) expire(now time.Time) {
	for _, known := range m.members {
		switch {
		case known.Status == Suspect && now.After(known.deadline):
			gone := known.Member
			gone.Status = Dead
			m.replace(now, known, gone)
		case known.Status == Dead && now.Sub(known.since) > m.config.ForgetAfter:
			m.forget(known)
		}
	}
}

// gossip sends updates to a few random members while there are any.
func (m *Machine) gossip(now time.Time, sends []Send) []Send {
	if len(m.updates.items) == 0 && m.rounds == 0 {
		return sends
	}
	m.rounds = max(m.rounds-1, 0)
	ids := m.liveIDs()
	if len(ids) == 0 {
		m.updates.items = nil // nobody to tell; joining compares lists
		return sends
	}
	for range min(m.config.GossipFanout, len(ids)) {
		pick := m.config.Random.IntN(len(ids))
		target := m.members[ids[pick]]
		ids = append(ids[:pick], ids[pick+1:]...)
		sends = append(sends, m.send(target.Control, Gossip, nil))
	}
	return sends
}

func (m *Machine) send(to string, kind Kind, of *probe) Send {
	return Send{To: to, Message: m.message(kind), probe: of}
}

// message builds a message with updates.
func (m *Machine) message(kind Kind) Message {
	built := Message{Kind: kind, From: m.self, Digest: m.digests.whole()}
	if kind == Sync {
		built.Buckets = m.digests.pack()
	} else {
		built.Updates = m.updates.take(m.config.MaximumUpdates, spreadRounds(m.size()))
	}
	return built
}

// compare answers a Sync with the parts of the list that the sender has otherwise.
func (m *Machine) compare(asked Message) Message {
	reply := m.message(Sync)
	reply.Updates = m.membersIn(m.digests.differing(asked.Buckets))
	return reply
}

// complete answers the answer to a Sync with the parts that its sender still has
// otherwise, now that what it sent is known here.
func (m *Machine) complete(to string, reply Message) []Send {
	missing := m.membersIn(m.digests.differing(reply.Buckets))
	if len(missing) == 0 {
		return nil
	}
	push := Message{Kind: Gossip, From: m.self, Digest: m.digests.whole(), Updates: missing}
	return []Send{{To: to, Message: push}}
}

// PingMessage returns a message for a probe on behalf of another process.
func (m *Machine) PingMessage() Message { return m.message(Ping) }

// Receive handles a message and returns the answer. For PingThrough the caller
// probes the target itself and sets OK in the answer.
func (m *Machine) Receive(now time.Time, message Message) Message {
	m.learn(now, message)
	if message.Kind == Sync {
		return m.compare(message)
	}
	reply := m.message(message.Kind)
	// A sender that is suspected or believed dead here is told so, and can
	// contradict at once.
	if known, exists := m.members[message.From.ID]; exists && known.Status != Alive {
		reply.Updates = append(reply.Updates, known.Member)
	} else if !exists {
		reply.Updates = append(reply.Updates, m.successors(message.From)...)
	}
	return reply
}

// successors returns the members that are taken here for the process at the
// address of a sender that is not known, so that it can contradict.
func (m *Machine) successors(sender Member) []Member {
	found := []Member{}
	for _, known := range m.byControl[sender.Control] {
		if known.Status != Dead {
			found = append(found, known.Member)
		}
	}
	return found
}

// Replied handles the answer to a message.
func (m *Machine) Replied(now time.Time, sent Send, reply Message) []Send {
	m.learn(now, reply)
	if sent.probe != nil {
		m.probeAnswered(now, sent, reply)
	}
	if sent.Message.Kind == Sync {
		return m.complete(sent.To, reply)
	}
	if reply.Digest != m.digests.whole() && sent.Message.Kind == Ping && now.Sub(m.lastSync) >= m.config.SyncInterval {
		m.lastSync = now
		return []Send{m.send(sent.To, Sync, nil)}
	}
	return nil
}

// learn merges a message.
func (m *Machine) learn(now time.Time, message Message) {
	m.apply(now, message.From)
	m.inBulk = len(message.Updates) > m.config.MaximumUpdates
	defer func() { m.inBulk = false }()
	for _, update := range message.Updates {
		m.apply(now, update)
	}
}

// Failed handles a message that could not be delivered or was not answered in
// time. It returns further messages to send.
func (m *Machine) Failed(now time.Time, sent Send) []Send {
	current := sent.probe
	if current == nil || current.done {
		return nil
	}
	if sent.Message.Kind == Ping {
		return m.probeThroughOthers(now, current)
	}
	current.pending--
	m.giveUp(now, current)
	return nil
}

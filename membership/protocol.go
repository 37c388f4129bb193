package membership

import "time"

// Tick performs the work due at the given time and returns the messages to send. It
// should be called several times in each GossipInterval.
func (m *Machine) Tick(now time.Time) []Send {
	m.expire(now)
	sends := []Send{}
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(m.config.ProbeInterval)
		sends = m.startProbe(sends)
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

// expire declares suspects dead at their deadline and forgets members that have been
// dead for longer than ForgetAfter.
func (m *Machine) expire(now time.Time) {
	for _, known := range m.members {
		switch {
		case known.Status == Suspect && now.After(known.deadline):
			dead := known.Member
			dead.Status = Dead
			m.replace(now, known, dead)
		case known.Status == Dead && now.Sub(known.since) > m.config.ForgetAfter:
			m.forget(known)
		}
	}
}

// gossip sends queued updates to GossipFanout random members. Without updates, it sends
// only the rounds requested by Announce.
func (m *Machine) gossip(now time.Time, sends []Send) []Send {
	if len(m.updates.items) == 0 && m.extraRounds == 0 {
		return sends
	}
	m.extraRounds = max(m.extraRounds-1, 0)
	ids := m.liveIDs()
	if len(ids) == 0 {
		m.updates.items = nil // no receivers; a member that joins later compares lists
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

// message builds a message with queued updates, or with the digests of all buckets if
// it is a Sync.
func (m *Machine) message(kind Kind) Message {
	built := Message{Kind: kind, From: m.self, Digest: m.digests.combined()}
	if kind == Sync {
		built.Buckets = m.digests.pack()
	} else {
		built.Updates = m.updates.take(m.config.MaximumUpdates, spreadRounds(m.size()))
	}
	return built
}

// replyToSync replies with the members in the buckets that differ from the sender's, and with
// what processes before the sender have acknowledged to their back ends.
func (m *Machine) replyToSync(asked Message) Message {
	reply := m.message(Sync)
	reply.Updates = append(m.membersIn(m.digests.differing(asked.Buckets)), m.predecessors(asked.From)...)
	return reply
}

// predecessors returns the dead members at the address of a process.
func (m *Machine) predecessors(process Member) []Member {
	found := []Member{}
	for _, known := range m.byControl[process.Control] {
		if known.Status == Dead && known.ID != process.ID {
			found = append(found, known.Member)
		}
	}
	return found
}

// pushMissing handles the reply to a Sync, after its updates were merged: it sends back
// the members in the buckets that still differ.
func (m *Machine) pushMissing(to string, reply Message) []Send {
	missing := m.membersIn(m.digests.differing(reply.Buckets))
	if len(missing) == 0 {
		return nil
	}
	push := Message{Kind: Gossip, From: m.self, Digest: m.digests.combined(), Updates: missing}
	return []Send{{To: to, Message: push}}
}

// PingMessage returns the message with which the caller probes a target on behalf of
// another process.
func (m *Machine) PingMessage() Message { return m.message(Ping) }

// Receive handles a message and returns the reply. For PingThrough, the caller
// probes the target and sets OK in the reply.
func (m *Machine) Receive(now time.Time, message Message) Message {
	m.mergeMessage(now, message)
	if message.Kind == Sync {
		return m.replyToSync(message)
	}
	reply := m.message(message.Kind)
	// A sender that is suspected or dead in this list receives that record, so
	// that it can refute at once.
	if known, exists := m.members[message.From.ID]; exists && known.Status != Alive {
		reply.Updates = append(reply.Updates, known.Member)
	} else if !exists {
		reply.Updates = append(reply.Updates, m.successors(message.From)...)
	}
	return reply
}

// successors returns the live members recorded at the address of an unknown sender, so
// that the sender can raise its generation above theirs.
func (m *Machine) successors(sender Member) []Member {
	found := []Member{}
	for _, known := range m.byControl[sender.Control] {
		if known.Status != Dead {
			found = append(found, known.Member)
		}
	}
	return found
}

// Replied handles the reply to a message and returns further messages to send.
func (m *Machine) Replied(now time.Time, sent Send, reply Message) []Send {
	m.mergeMessage(now, reply)
	if sent.probe != nil {
		m.handleProbeReply(now, sent, reply)
	}
	if sent.Message.Kind == Sync {
		m.config.OnSynced(reply.From)
		return m.pushMissing(sent.To, reply)
	}
	if reply.Digest != m.digests.combined() && sent.Message.Kind == Ping && now.Sub(m.lastSync) >= m.config.SyncInterval {
		m.lastSync = now
		return []Send{m.send(sent.To, Sync, nil)}
	}
	return nil
}

// mergeMessage merges the sender's record and the updates of a message.
func (m *Machine) mergeMessage(now time.Time, message Message) {
	m.apply(now, message.From)
	m.inBulk = len(message.Updates) > m.config.MaximumUpdates
	defer func() { m.inBulk = false }()
	for _, update := range message.Updates {
		m.apply(now, update)
	}
}

// Failed handles a message that could not be delivered or got no reply within
// ProbeTimeout. It returns further messages to send.
func (m *Machine) Failed(now time.Time, sent Send) []Send {
	current := sent.probe
	if current == nil || current.done {
		return nil
	}
	if sent.Message.Kind == Ping {
		return m.probeIndirectly(now, current)
	}
	current.pending--
	m.suspectIfFailed(now, current)
	return nil
}

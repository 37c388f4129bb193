package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1000, 0)

func newMachine(id string) *Machine {
	return New(Config{
		Self:          Member{ID: id, Control: id + ":1", Generation: 5},
		ProbeInterval: time.Second,
		Random:        rand.New(rand.NewPCG(1, 1)),
	}, epoch)
}

func other(version uint64, status Status) Member {
	return Member{ID: "b", Control: "b:1", Generation: 5, Version: version, Status: status}
}

// news gives a machine the updates of a message from a third process.
func news(m *Machine, updates ...Member) Message {
	return m.Receive(epoch, Message{Kind: Gossip, From: Member{ID: "c", Control: "c:1", Generation: 5, Version: 1}, Updates: updates})
}

func believed(m *Machine, id string) (Member, bool) {
	for _, member := range m.Members() {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

func TestWhichNewsCounts(t *testing.T) {
	cases := []struct {
		name string
		news []Member
		want Status
	}{
		{"alive", []Member{other(1, Alive)}, Alive},
		{"suspected", []Member{other(1, Alive), other(1, Suspect)}, Suspect},
		{"contradicted", []Member{other(1, Suspect), other(2, Alive)}, Alive},
		{"a late suspicion", []Member{other(2, Alive), other(1, Suspect)}, Alive},
		{"dead", []Member{other(1, Alive), other(1, Dead)}, Dead},
		{"dead wins over alive of the same incarnation", []Member{other(1, Alive), other(1, Dead), other(1, Alive)}, Dead},
		{"it came back", []Member{other(1, Alive), other(1, Dead), other(2, Alive)}, Alive},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newMachine("a")
			for _, update := range c.news {
				news(m, update)
			}
			got, known := believed(m, "b")
			is.True(known)
			is.Equal(got.Status, c.want)
		})
	}
}

func TestALaterProcessAtTheSameAddressProvesTheEarlierDead(t *testing.T) {
	is := is.New(t)
	m := newMachine("a")
	news(m, other(9, Alive))
	successor := Member{ID: "b2", Control: "b:1", Generation: 6, Version: 1}
	news(m, successor)
	former, _ := believed(m, "b")
	is.Equal(former.Status, Dead)
	news(m, other(10, Alive)) // a late message of the earlier process
	current, known := believed(m, "b2")
	is.True(known)
	is.Equal(current.Status, Alive)
}

func TestASuspectedProcessContradicts(t *testing.T) {
	is := is.New(t)
	m := newMachine("a")
	self := m.Self()
	self.Status = Suspect
	reply := news(m, self)
	is.Equal(reply.From.Version, self.Version+1)
	is.Equal(m.Self().Status, Alive)
}

func TestASenderThatIsBelievedDeadIsToldSo(t *testing.T) {
	is := is.New(t)
	m := newMachine("a")
	news(m, other(1, Alive), other(1, Dead))
	reply := m.Receive(epoch, Message{Kind: Ping, From: other(1, Alive)})
	told := false
	for _, update := range reply.Updates {
		told = told || (update.ID == "b" && update.Status == Dead)
	}
	is.True(told)
}

func TestMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	m := newMachine("a")
	for i := range 500 {
		news(m, Member{ID: fmt.Sprint("m", i), Control: fmt.Sprint("m", i, ":1"), Generation: 1, Version: 1})
	}
	reply := m.Receive(epoch, Message{Kind: Ping, From: other(1, Alive)})
	is.True(len(reply.Updates) <= 17) // 16 and the sender's own record at most
	is.Equal(len(m.Receive(epoch, Message{Kind: Sync, From: other(1, Alive)}).Updates), len(m.Members()))
}

func ExampleMachine() {
	random := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(0, 0)
	left := New(Config{Self: Member{ID: "left", Control: "127.0.0.1:1", Generation: 1}, Random: random}, start)
	right := New(Config{Self: Member{ID: "right", Control: "127.0.0.1:2", Generation: 2}, Random: random}, start)
	right.SetSeeds([]string{"127.0.0.1:1"})
	for _, send := range right.Tick(start) { // the caller delivers messages
		reply := left.Receive(start, send.Message)
		right.Replied(start, send, reply)
	}
	for _, member := range left.Members() {
		fmt.Println(member.ID, member.Status)
	}
	// Output:
	// left alive
	// right alive
}

// TestASuccessorWithAnEarlierClockIsBelieved: a process is killed, the time of
// day of its machine is set back, and it starts again at the same address.
func TestASuccessorWithAnEarlierClockIsBelieved(t *testing.T) {
	is := is.New(t)
	peer := newMachine("a")
	former := Member{ID: "former", Control: "x:1", Generation: 2000, Version: 7}
	peer.Receive(epoch, Message{Kind: Gossip, From: former})
	successor := New(Config{
		Self:          Member{ID: "successor", Control: "x:1", Generation: 1000},
		ProbeInterval: time.Second,
		Random:        rand.New(rand.NewPCG(1, 1)),
	}, epoch)

	reply := peer.Receive(epoch, successor.PingMessage())
	successor.Replied(epoch, Send{To: "a:1", Message: Message{Kind: Ping}}, reply)
	peer.Receive(epoch, successor.PingMessage())

	seen, known := believed(peer, "successor")
	is.True(known)
	is.Equal(seen.Status, Alive)
	gone, _ := believed(peer, "former")
	is.Equal(gone.Status, Dead)
}

// TestAMeshThatStartsAtOnceJoinsWithinASecond: all processes were killed and
// start again; each is given all addresses.
func TestAMeshThatStartsAtOnceJoinsWithinASecond(t *testing.T) {
	is := is.New(t)
	const size = 12
	addresses := []string{}
	machines := map[string]*Machine{}
	for i := range size {
		id := fmt.Sprintf("m%d", i)
		addresses = append(addresses, id+":1")
		machines[id+":1"] = New(Config{
			Self:          Member{ID: id, Control: id + ":1", Generation: int64(i + 1)},
			ProbeInterval: time.Second,
			Random:        rand.New(rand.NewPCG(uint64(i), 1)),
		}, epoch)
	}
	for _, machine := range machines {
		machine.SetSeeds(addresses)
	}
	for at := time.Duration(0); at <= time.Second; at += 100 * time.Millisecond {
		now := epoch.Add(at)
		for _, address := range addresses {
			machine := machines[address]
			for _, send := range machine.Tick(now) {
				machine.Replied(now, send, machines[send.To].Receive(now, send.Message))
			}
		}
	}
	for _, machine := range machines {
		is.Equal(len(machine.Members()), size)
	}
}

package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/freeport"
)

const testTopic Topic = 1

// networkModel is a fleet of nodes under a fake clock that loses a part of the datagrams.
type networkModel struct {
	clock  *clock.Fake
	random *rand.Rand
	nodes  []*Node
	byAddr map[netip.AddrPort]int
	// cut reports whether no datagram passes from one node to another.
	cut  func(from, to int) bool
	loss float64
	sent []int // datagrams by sender
	news []int // notices handled by receiver
}

func newNetworkModel(nodes int, seed uint64) *networkModel {
	m := &networkModel{
		clock: &clock.Fake{Time: time.Minute}, random: rand.New(rand.NewPCG(seed, 1)), byAddr: make(map[netip.AddrPort]int),
		cut: func(int, int) bool { return false }, sent: make([]int, nodes), news: make([]int, nodes),
	}
	var all []netip.AddrPort
	for i := range nodes {
		all = append(all, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1))
		m.byAddr[all[i]] = i
	}
	for i := range nodes {
		var peers []netip.AddrPort
		for j, p := range all {
			if j != i {
				peers = append(peers, p)
			}
		}
		topics := map[Topic]Subscription{testTopic: {Retention: time.Minute, Handle: func(Notice, time.Duration) { m.news[i]++ }}}
		m.nodes = append(m.nodes, NewNode(m.clock, zap.NewNop(), rand.New(rand.NewPCG(seed, uint64(i+2))), topics, func() []netip.AddrPort { return peers }))
	}
	return m
}

// deliver passes a message on, and the replies to it.
func (m *networkModel) deliver(from int, to []netip.AddrPort, message message) {
	for _, address := range to {
		m.sent[from]++
		i := m.byAddr[address]
		if m.cut(from, i) || m.random.Float64() < m.loss {
			continue
		}
		if reply := m.nodes[i].apply(message); reply != nil {
			for sender, index := range m.byAddr {
				if index == from {
					m.deliver(i, []netip.AddrPort{sender}, *reply)
				}
			}
		}
	}
}

// run advances the clock by d in rounds, with a comparison of each node once a second.
func (m *networkModel) run(d time.Duration) {
	for end := m.clock.Time + d; m.clock.Time < end; m.clock.Time += RoundInterval {
		second := m.clock.Time % compareInterval
		for i, n := range m.nodes {
			if to, message := n.nextRound(m.clock.Time); len(message.Notices) > 0 {
				m.deliver(i, to, message)
			}
			due := time.Duration(i) * compareInterval / time.Duration(len(m.nodes))
			if second <= due && due < second+RoundInterval {
				to, message := n.comparison(m.clock.Time)
				m.deliver(i, to, message)
			}
		}
	}
}

// knowing returns the number of nodes that have handled or published the given number of
// notices.
func (m *networkModel) knowing(notices int, publishers map[int]int) int {
	count := 0
	for i := range m.nodes {
		if m.news[i]+publishers[i] == notices {
			count++
		}
	}
	return count
}

// TestNoticesReachAllVMs guards against a VM that does not learn of a notice within a second,
// in fleets of all sizes and with lost datagrams, and against a number of datagrams for each VM
// that grows with the fleet.
func TestNoticesReachAllVMs(t *testing.T) {
	for _, vms := range []int{2, 5, 10, 80, 295} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d VMs, seed %d", vms, seed), func(t *testing.T) {
				is := is.New(t)
				m := newNetworkModel(vms, seed)
				m.loss = 0.05
				publishers := map[int]int{}
				for k := range 3 {
					i := k * 7 % vms
					m.nodes[i].Publish(testTopic, fmt.Sprint(k), k)
					publishers[i]++
				}
				m.run(time.Second)
				is.Equal(m.knowing(3, publishers), vms)
				m.run(9 * time.Second)
				for _, sent := range m.sent {
					// Notices that arrive in different rounds are sent in different datagrams, and a
					// comparison has at most two replies.
					is.True(sent <= 3*fanOut*rounds+10*3)
				}
			})
		}
	}
}

// TestPartitionHeals guards against notices that VMs on the other side of a partition, and VMs
// that start later, never get.
func TestPartitionHeals(t *testing.T) {
	is := is.New(t)
	m := newNetworkModel(20, 3)
	m.cut = func(from, to int) bool { return from < 10 != (to < 10) }
	publishers := map[int]int{}
	for k := range 100 {
		m.nodes[k%20].Publish(testTopic, fmt.Sprint(k), k)
		publishers[k%20]++
	}
	m.run(3 * time.Second)
	is.Equal(m.knowing(50, publishers), 20)
	m.cut = func(int, int) bool { return false }
	m.run(6 * time.Second)
	is.Equal(m.knowing(100, publishers), 20)
	m.nodes[4].table = newTable(rand.New(rand.NewPCG(9, 9)), m.nodes[4].table.retention) // it has started again
	m.news[4], publishers[4] = 0, 0
	m.run(6 * time.Second)
	is.Equal(m.news[4], 100)
}

// TestNewerNoticeReplaces guards against an older notice of a VM that arrives late and undoes a
// newer one, and against notices that live for ever.
func TestNewerNoticeReplaces(t *testing.T) {
	is := is.New(t)
	table := newTable(rand.New(rand.NewPCG(1, 1)), map[Topic]time.Duration{testTopic: time.Minute})
	is.True(table.add(Notice{Topic: testTopic, Origin: 7, Key: "k", Version: 2}, 0))
	is.True(!table.add(Notice{Topic: testTopic, Origin: 7, Key: "k", Version: 1}, 0))
	is.True(!table.add(Notice{Topic: testTopic, Origin: 7, Key: "k", Version: 2}, 0))
	is.True(!table.add(Notice{Topic: testTopic + 1, Origin: 7, Key: "k", Version: 3}, 0)) // unknown topic
	is.True(!table.add(Notice{Topic: testTopic, Origin: 8, Key: "k", AgeMs: 60_000}, 0))
	is.True(!table.add(Notice{Topic: testTopic, Origin: 8, Key: "k", AgeMs: -1}, 0))
	is.True(table.add(Notice{Topic: testTopic, Origin: 8, Key: "k", AgeMs: 59_000}, 0))
	table.drop(2 * time.Second)
	is.Equal(len(table.entries), 1)
	for i := range 2 * maxNotices {
		table.publish(testTopic, fmt.Sprint(i), nil, time.Second)
	}
	is.True(len(table.entries) <= maxNotices)
}

// TestSharedNotice guards against a copy of a notice for each VM that publishes it, against an older
// one that undoes it, and against one that still counts when other VMs have dropped it.
func TestSharedNotice(t *testing.T) {
	is := is.New(t)
	table := newTable(rand.New(rand.NewPCG(1, 1)), map[Topic]time.Duration{testTopic: time.Minute})
	version := func() uint64 { return table.entries[noticeID{testTopic, sharedOrigin, "k"}].Version }
	is.True(table.publishShared(testTopic, "k", 5, nil, 0))
	is.True(table.publishShared(testTopic, "k", 5, nil, time.Second))
	is.True(table.publishShared(testTopic, "k", 4, nil, time.Second))
	is.True(!table.add(Notice{Topic: testTopic, Key: "k", Version: 5}, time.Second)) // of another VM
	is.Equal(version(), uint64(5))
	is.Equal(len(table.hot), 1)
	is.True(table.publishShared(testTopic, "k", 6, nil, time.Second))
	is.Equal(version(), uint64(6))
	is.Equal(len(table.entries), 1)
	is.True(table.publishShared(testTopic, "k", 1, nil, time.Second+time.Minute))
	is.Equal(version(), uint64(1))
	is.True(!table.publishShared(testTopic, "large", 1, make([]byte, maxMessageBytes), 0))
}

// TestLargeNotices guards against a notice that is too large for a datagram and holds up others, and
// against notices that are never sent when many wait.
func TestLargeNotices(t *testing.T) {
	is := is.New(t)
	m := newNetworkModel(3, 1)
	now := m.clock.Time
	is.True(!m.nodes[0].table.publish(testTopic, "large", make([]byte, maxMessageBytes), now))
	for i := range 20 {
		is.True(m.nodes[0].table.publish(testTopic, fmt.Sprint(i), make([]byte, maxMessageBytes/3), now))
	}
	m.run(3 * time.Second)
	is.Equal(m.knowing(20, map[int]int{0: 20}), 3)
	is.Equal(len(m.nodes[0].table.hot), 0)
}

// TestExchange guards against notices that do not pass real sockets.
func TestExchange(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	port, err := freeport.Adjacent(2)
	is.NoErr(err)
	received := make(chan Notice, 10)
	var nodes []*Node
	for i := range 2 {
		peer := netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", port+1-i))
		topics := map[Topic]Subscription{testTopic: {Retention: time.Minute, Handle: func(n Notice, _ time.Duration) { received <- n }}}
		n := NewNode(clock.System{}, zap.NewNop(), rand.New(rand.NewPCG(uint64(i), 5)), topics, func() []netip.AddrPort { return []netip.AddrPort{peer} })
		is.NoErr(n.Start(ctx, fmt.Sprintf("127.0.0.1:%d", port+i)))
		nodes = append(nodes, n)
	}
	nodes[0].Publish(testTopic, "k", "content")
	select {
	case n := <-received:
		is.Equal(n.Key, "k")
		var content string
		is.NoErr(cbor.Unmarshal(n.Content, &content))
		is.Equal(content, "content")
	case <-time.After(5 * time.Second):
		t.Fatal("no notice arrived within 5 s")
	}
}

// FuzzDecode checks that no datagram crashes a node, or makes it keep a notice that is out of
// range.
func FuzzDecode(f *testing.F) {
	content, err := cbor.Marshal(message{Notices: []Notice{{Topic: testTopic, Origin: 3, Key: "k", Version: 1, Content: []byte{1}}}, Digest: 4, Compare: true})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, content []byte) {
		m, err := decode(content)
		if err != nil {
			return
		}
		table := newTable(rand.New(rand.NewPCG(1, 1)), map[Topic]time.Duration{testTopic: time.Minute})
		table.receive(m, time.Hour)
		for _, e := range table.entries {
			if e.publishedAt > time.Hour || time.Hour-e.publishedAt >= time.Minute {
				t.Errorf("notice published at %s is kept", e.publishedAt)
			}
		}
	})
}

package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/datagram"
	"fireflyfield/internal/logfield"
)

const (
	// RoundInterval is the time between two rounds while there are notices to send.
	RoundInterval = 60 * time.Millisecond
	// compareInterval is the time between two comparisons with another VM.
	compareInterval = time.Second
	// minReplyInterval is the least time between two replies to comparisons, which hold many
	// notices.
	minReplyInterval = 200 * time.Millisecond
	// maxDatagramBytes bounds a received message.
	maxDatagramBytes = 16 << 10
)

// Handler processes a notice of another VM that was published at the given monotonic time.
type Handler func(n Notice, publishedAt time.Duration)

// Subscription says what becomes of the notices of a topic.
type Subscription struct {
	// Retention is how long notices are kept for VMs that do not know them.
	Retention time.Duration
	Handle    Handler
}

// Node is the gossip of one VM. It is safe for concurrent use, apart from Due. Handlers are called
// without its lock.
type Node struct {
	clock  clock.Clock
	log    *zap.Logger
	topics map[Topic]Subscription
	// peers returns the UDP addresses of all other VMs.
	peers func() []netip.AddrPort

	mu          sync.Mutex
	table       *table
	random      *rand.Rand
	order       []netip.AddrPort // peers in the order in which they are sent to
	nextReplyAt time.Duration
	compareAt   time.Duration // when the next comparison is due; for Due only
}

// Datagram is an encoded message and its receivers.
type Datagram struct {
	To      []netip.AddrPort
	Content []byte
}

// NewNode returns a node that knows no notices. peers returns the UDP addresses of all other VMs.
func NewNode(c clock.Clock, log *zap.Logger, random *rand.Rand, topics map[Topic]Subscription, peers func() []netip.AddrPort) *Node {
	retention := make(map[Topic]time.Duration, len(topics))
	for topic, s := range topics {
		retention[topic] = s.Retention
	}
	firstCompare := c.Now() + time.Duration(random.Float64()*float64(compareInterval))
	return &Node{clock: c, log: log, topics: topics, peers: peers, random: random, table: newTable(random, retention), compareAt: firstCompare}
}

// Publish tells all other VMs of a notice, which replaces an earlier one with the same topic and
// key. It returns at once.
func (n *Node) Publish(topic Topic, key string, content any) {
	n.publish(topic, content, func(encoded []byte, now time.Duration) bool {
		return n.table.publish(topic, key, encoded, now)
	})
}

// PublishShared is like Publish for a notice that any VM may publish. It replaces one with the same
// topic and key and a lower version of whatever VM; if the version is known already, it tells
// nobody. Of notices with the same version each VM keeps the first one.
func (n *Node) PublishShared(topic Topic, key string, version uint64, content any) {
	n.publish(topic, content, func(encoded []byte, now time.Duration) bool {
		return n.table.publishShared(topic, key, version, encoded, now)
	})
}

// publish encodes a notice and adds it to the table, or logs why it cannot be sent.
func (n *Node) publish(topic Topic, content any, add func(encoded []byte, now time.Duration) bool) {
	encoded, err := cbor.Marshal(content)
	if err != nil {
		n.log.Error("notice cannot be encoded", logfield.Error(err))
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !add(encoded, n.clock.Now()) {
		n.log.Error("notice cannot be sent", zap.Uint8("topic", uint8(topic)), zap.Int("bytes", len(encoded)))
	}
}

// Start starts to exchange notices at the local UDP address, HOST:PORT, and returns. The
// exchange stops when ctx ends.
func (n *Node) Start(ctx context.Context, address string) error {
	socket, err := datagram.Listen(ctx, address, maxDatagramBytes, n.receive)
	if err != nil {
		return errors.Wrap(err, "listen for notices")
	}
	go n.run(ctx, socket)
	return nil
}

// run sends what is due until ctx ends.
func (n *Node) run(ctx context.Context, socket *net.UDPConn) {
	ticker := time.NewTicker(RoundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, d := range n.Due() {
			send(socket, d)
		}
	}
}

// Due returns what this VM sends now: new notices and comparisons. It is called once in
// RoundInterval.
func (n *Node) Due() []Datagram {
	now := n.clock.Now()
	var due []Datagram
	if to, m := n.nextRound(now); len(m.Notices) > 0 {
		due = n.appendDatagram(due, to, m)
	}
	if now >= n.compareAt {
		n.compareAt = now + compareInterval
		if to, m := n.comparison(now); len(to) > 0 {
			due = n.appendDatagram(due, to, m)
		}
	}
	return due
}

// appendDatagram appends an encoded message, or logs why it cannot be encoded.
func (n *Node) appendDatagram(list []Datagram, to []netip.AddrPort, m message) []Datagram {
	content, err := cbor.Marshal(m)
	if err != nil {
		n.log.Error("notices cannot be encoded", logfield.Error(err))
		return list
	}
	return append(list, Datagram{To: to, Content: content})
}

// nextRound returns the message of this round and its receivers. The message is empty if there
// is nothing to send.
func (n *Node) nextRound(now time.Duration) ([]netip.AddrPort, message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.table.hot) == 0 {
		return nil, message{}
	}
	to := n.choosePeers(fanOut)
	if len(to) == 0 {
		return nil, message{}
	}
	return to, message{Notices: n.table.round(now)}
}

// comparison returns a comparison and its receiver.
func (n *Node) comparison(now time.Duration) ([]netip.AddrPort, message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.choosePeers(1), message{Digest: n.table.digest(now), Compare: true}
}

// choosePeers returns the given number of peers. Each peer is chosen once before any is chosen
// again. The caller holds n.mu.
func (n *Node) choosePeers(count int) []netip.AddrPort {
	peers := n.peers()
	n.order = slices.DeleteFunc(n.order, func(p netip.AddrPort) bool { return !slices.Contains(peers, p) })
	var chosen []netip.AddrPort
	for range min(count, len(peers)) {
		if len(n.order) == 0 {
			n.order = slices.Clone(peers)
			n.random.Shuffle(len(n.order), func(i, j int) { n.order[i], n.order[j] = n.order[j], n.order[i] })
		}
		last := len(n.order) - 1
		chosen = append(chosen, n.order[last])
		n.order = n.order[:last]
	}
	return chosen
}

// send sends a datagram. Errors are ignored: lost messages are covered by comparisons.
func send(socket *net.UDPConn, d Datagram) {
	for _, peer := range d.To {
		_, _ = socket.WriteToUDPAddrPort(d.Content, peer)
	}
}

// receive processes one datagram and sends the replies to it.
func (n *Node) receive(socket *net.UDPConn, content []byte, from netip.AddrPort) {
	for _, d := range n.Receive(content, from) {
		send(socket, d)
	}
}

// Receive processes one datagram and returns the replies to it.
func (n *Node) Receive(content []byte, from netip.AddrPort) []Datagram {
	m, err := decode(content)
	if err != nil {
		n.log.Debug("notices cannot be decoded", logfield.Error(err))
		return nil
	}
	reply := n.apply(m)
	if reply == nil {
		return nil
	}
	return n.appendDatagram(nil, []netip.AddrPort{from}, *reply)
}

// apply passes the new notices of a message to their handlers and returns the reply, if any.
func (n *Node) apply(m message) *message {
	now := n.clock.Now()
	n.mu.Lock()
	news, reply := n.table.receive(m, now)
	if reply != nil && now < n.nextReplyAt {
		reply = nil
	}
	if reply != nil {
		n.nextReplyAt = now + minReplyInterval
	}
	n.mu.Unlock()
	for _, notice := range news {
		n.topics[notice.Topic].Handle(notice, now-time.Duration(notice.AgeMs)*time.Millisecond)
	}
	return reply
}

// Package gossip spreads notices of one VM to all others over UDP, without the shared log. A VM
// sends a new notice to a few others, which do the same, so that a fleet of hundreds knows it
// within a second and each VM sends a few datagrams for it. Once a second each VM also compares
// what it knows with one other, which covers lost datagrams, partitions and VMs that have just
// started. The meaning of notices is left to the users of the package.
package gossip

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

const (
	// fanOut is the number of VMs to which a new notice is sent in a round, and rounds is the
	// number of rounds, each with other VMs. A notice reaches all of 295 VMs in about 5 rounds.
	fanOut = 4
	rounds = 4
	// maxNotices bounds the notices that are kept; the oldest ones are dropped.
	maxNotices = 2048
	// maxMessageBytes bounds the encoded notices of one datagram.
	maxMessageBytes = 4 << 10
	// noticeOverhead is the most bytes that a notice takes beside its key and content.
	noticeOverhead = 48
	// compareFraction is the part of its retention after which a notice is no longer compared:
	// VMs drop it at slightly different times.
	compareFraction = 0.9
)

// Topic tells the kinds of notices apart.
type Topic uint8

// Notice is what one VM states. A later notice of the VM with the same topic and key replaces it.
type Notice struct {
	Topic Topic `cbor:"1,keyasint"`
	// Origin identifies the process that has published the notice, or is sharedOrigin.
	Origin  uint64 `cbor:"2,keyasint"`
	Key     string `cbor:"3,keyasint"`
	Version uint64 `cbor:"4,keyasint"`
	// AgeMs is the time in ms since the notice was published.
	AgeMs   int64  `cbor:"5,keyasint"`
	Content []byte `cbor:"6,keyasint,omitempty"`
}

// message is the content of one datagram.
type message struct {
	Notices []Notice `cbor:"1,keyasint,omitempty"`
	// Digest covers all notices that the sender knows.
	Digest uint64 `cbor:"2,keyasint,omitempty"`
	// Compare asks for the notices of the receiver if its digest differs. Answer marks the
	// reply to that.
	Compare bool `cbor:"3,keyasint,omitempty"`
	Answer  bool `cbor:"4,keyasint,omitempty"`
}

// noticeID identifies the notices that replace each other.
type noticeID struct {
	topic  Topic
	origin uint64
	key    string
}

// entry is a known notice.
type entry struct {
	Notice
	publishedAt time.Duration
	roundsLeft  int
}

// table holds the notices that a VM knows, and decides what is sent. It does no I/O and is not
// safe for concurrent use.
type table struct {
	origin    uint64
	version   uint64
	random    *rand.Rand
	retention map[Topic]time.Duration
	entries   map[noticeID]*entry
	hot       []*entry // those with roundsLeft
}

// newTable returns an empty table. retention is how long notices of each topic are kept; those
// of other topics are ignored.
func newTable(random *rand.Rand, retention map[Topic]time.Duration) *table {
	return &table{origin: random.Uint64(), random: random, retention: retention, entries: make(map[noticeID]*entry)}
}

// publish adds a notice of this VM, and reports whether it can be sent.
func (t *table) publish(topic Topic, key string, content []byte, now time.Duration) bool {
	t.version++
	return t.add(Notice{Topic: topic, Origin: t.origin, Key: key, Version: t.version, Content: content}, now)
}

// sharedOrigin is the origin of notices that any VM may publish.
const sharedOrigin = 0

// publishShared adds a notice that any VM may publish, and reports whether it can be sent or is
// known already.
func (t *table) publishShared(topic Topic, key string, version uint64, content []byte, now time.Duration) bool {
	n := Notice{Topic: topic, Origin: sharedOrigin, Key: key, Version: version, Content: content}
	return t.add(n, now) || t.knows(n, now)
}

// knows reports whether a notice or a newer one is known and within its retention.
func (t *table) knows(n Notice, now time.Duration) bool {
	known := t.entries[noticeID{n.Topic, n.Origin, n.Key}]
	return known != nil && known.Version >= n.Version && now-known.publishedAt < t.retention[n.Topic]
}

// add adds a notice that is newer than the known one, and reports whether it is. The notice is
// sent on then.
func (t *table) add(n Notice, now time.Duration) bool {
	if n.AgeMs < 0 || n.AgeMs >= t.retention[n.Topic].Milliseconds() || n.size() > maxMessageBytes {
		return false
	}
	if t.knows(n, now) {
		return false
	}
	age := time.Duration(n.AgeMs) * time.Millisecond
	e := &entry{Notice: n, publishedAt: now - age, roundsLeft: rounds}
	t.entries[noticeID{n.Topic, n.Origin, n.Key}] = e
	t.hot = append(t.hot, e)
	if len(t.entries) > maxNotices {
		t.drop(now)
	}
	return true
}

// drop drops the notices that are older than their retention, and the oldest ones beyond
// maxNotices.
func (t *table) drop(now time.Duration) {
	for id, e := range t.entries {
		if now-e.publishedAt >= t.retention[e.Topic] {
			delete(t.entries, id)
		}
	}
	if extra := len(t.entries) - maxNotices; extra > 0 {
		for _, e := range t.newestFirst()[maxNotices:] {
			delete(t.entries, noticeID{e.Topic, e.Origin, e.Key})
		}
	}
}

// newestFirst returns all entries by the time of their publication.
func (t *table) newestFirst() []*entry {
	list := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(b.publishedAt, a.publishedAt) })
	return list
}

// receive adds the notices of a message and returns the new ones. It also returns the message to
// answer with, or nil if there is none.
func (t *table) receive(m message, now time.Duration) (news []Notice, reply *message) {
	for _, n := range m.Notices {
		if t.add(n, now) {
			news = append(news, n)
		}
	}
	if !m.Compare && !m.Answer || m.Digest == t.digest(now) {
		return news, nil
	}
	reply = &message{Notices: t.sample(now)}
	if m.Compare {
		reply.Digest, reply.Answer = t.digest(now), true
	}
	return news, reply
}

// round returns the notices to send to fanOut VMs now.
func (t *table) round(now time.Duration) []Notice {
	var notices []Notice
	size := 0
	waiting := t.hot[:0]
	for _, e := range t.hot {
		if t.entries[noticeID{e.Topic, e.Origin, e.Key}] != e {
			continue // replaced or dropped
		}
		if size+e.size() <= maxMessageBytes {
			size += e.size()
			notices = append(notices, e.aged(now))
			e.roundsLeft--
		}
		if e.roundsLeft > 0 {
			waiting = append(waiting, e)
		}
	}
	t.hot = waiting
	return notices
}

// sample returns as many notices as fit into a message, in a random order, so that repeated
// samples cover all of them.
func (t *table) sample(now time.Duration) []Notice {
	t.drop(now)
	list := t.newestFirst()
	t.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	var notices []Notice
	size := 0
	for _, e := range list {
		if size += e.size(); size > maxMessageBytes {
			break
		}
		notices = append(notices, e.aged(now))
	}
	return notices
}

// size returns the most bytes that the encoded notice takes.
func (n *Notice) size() int { return len(n.Key) + len(n.Content) + noticeOverhead }

// aged returns the notice with its age.
func (e *entry) aged(now time.Duration) Notice {
	n := e.Notice
	n.AgeMs = (now - e.publishedAt).Milliseconds()
	return n
}

// digest returns a hash of all notices that are not about to be dropped.
func (t *table) digest(now time.Duration) uint64 {
	digest := uint64(0)
	for id, e := range t.entries {
		if float64(now-e.publishedAt) >= compareFraction*float64(t.retention[e.Topic]) {
			continue
		}
		content := append([]byte{byte(id.topic)}, id.key...)
		content = binary.BigEndian.AppendUint64(content, id.origin)
		digest ^= xxhash.Sum64(binary.BigEndian.AppendUint64(content, e.Version))
	}
	return digest
}

// decode parses a datagram.
func decode(content []byte) (message, error) {
	var m message
	if err := cbor.Unmarshal(content, &m); err != nil {
		return message{}, errors.Wrap(err, "decode gossip message")
	}
	return m, nil
}

package idempotency

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

const (
	lease           = 700 * time.Millisecond
	leaseMargin     = 50 * time.Millisecond
	requestDeadline = 5 * time.Second
)

// node is one VM with its store and the runs that it may send.
type node struct {
	store  *Store
	paused bool
	lost   bool
	ready  []*request
}

// request is a run between the decision and its end.
type request struct {
	node    *node
	key     Key
	runID   uint64
	wait    <-chan Decision
	decided time.Time
	sent    bool
}

type message struct {
	to        int
	replicate *Replicate
	ack       *Ack
	from      int
}

// cluster plays the decider, the network and the backend servers for one
// partition, and checks that no key runs twice within the window.
type cluster struct {
	rng                    *rand.Rand
	now                    time.Time
	nodes                  []*node
	pool                   []message
	term                   uint64
	holder, backup         int
	renewed                time.Time
	revoke                 bool
	runs                   map[Key]time.Time
	total, double, replays int
}

const none = -1

func newCluster(seed uint64) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(seed, 3)), now: start, runs: map[Key]time.Time{}, holder: none, backup: none}
	for range 4 {
		c.nodes = append(c.nodes, &node{store: NewStore(7)})
	}
	c.assign()
	return c
}

// assign makes the backup the holder if it is healthy and names a new backup.
func (c *cluster) assign() {
	next := c.backup
	if next == none || !c.healthy(next) || c.rng.IntN(25) == 0 {
		next = c.pick(none)
	}
	if next == none {
		return
	}
	c.term++
	c.holder, c.backup = next, c.pick(next)
	if c.rng.IntN(8) == 0 {
		c.backup = none
	}
	c.renewed = c.now
	c.revoke = false
	role := Role{Term: c.term, Holder: true, Previous: c.term - 1, LeaseUntil: c.now.Add(lease)}
	if c.backup != none {
		role.Backup = strconv.Itoa(c.backup)
	}
	c.nodes[c.holder].store.SetRole(role, c.now)
}

func (c *cluster) healthy(i int) bool { return !c.nodes[i].paused && !c.nodes[i].lost }

func (c *cluster) pick(except int) int {
	for _, i := range c.rng.Perm(len(c.nodes)) {
		if i != except && c.healthy(i) {
			return i
		}
	}
	return none
}

func (c *cluster) decide() {
	switch {
	case c.healthy(c.holder) && !c.revoke:
		c.renewed = c.now
		c.nodes[c.holder].store.SetLease(c.term, c.now.Add(lease))
		if c.backup != none && c.healthy(c.backup) && c.rng.IntN(3) == 0 {
			c.nodes[c.backup].store.SetRole(Role{Term: c.term, Previous: c.term - 1}, c.now)
		}
	case c.now.Sub(c.renewed) > lease+leaseMargin:
		c.assign()
	}
}

func (c *cluster) step() {
	i := c.rng.IntN(len(c.nodes))
	n := c.nodes[i]
	switch r := c.rng.IntN(10_000); {
	case r < 2500:
		c.begin(c.nodes[c.holder])
	case r < 2800:
		c.begin(n)
	case r < 4800:
		c.poll(i)
	case r < 6800:
		c.deliver()
	case r < 8500:
		c.proceed(n)
	case r < 9900:
		c.now = c.now.Add(time.Duration(c.rng.Int64N(int64(100 * time.Millisecond))))
		c.decide()
	case r < 9904:
		c.revoke = true
	case r < 9909:
		n.paused = true
	case r < 9979:
		n.paused, n.lost = false, false
	case r < 9983:
		c.lose(i)
		if c.rng.IntN(2) == 0 && c.backup != none {
			c.lose(c.backup)
		}
	default:
		c.now = c.now.Add(time.Duration(c.rng.Int64N(int64(3 * time.Minute))))
	}
}

func (c *cluster) lose(i int) {
	c.nodes[i] = &node{store: NewStore(7), lost: true}
}

func (c *cluster) begin(n *node) {
	if n.paused || n.lost {
		return
	}
	key := Key{"w", strconv.Itoa(c.rng.IntN(12))}
	d := n.store.Begin(key, Fingerprint{}, c.now)
	switch d.Outcome {
	case Run:
		n.ready = append(n.ready, &request{node: n, key: key, runID: d.RunID, decided: c.now})
	case Pending:
		n.ready = append(n.ready, &request{node: n, key: key, runID: d.RunID, wait: d.Ready, decided: c.now})
	case Done:
		c.replays++
	}
}

func (c *cluster) poll(i int) {
	if !c.healthy(i) {
		return
	}
	out, _ := c.nodes[i].store.Poll(c.now)
	to, err := strconv.Atoi(c.nodes[i].store.Backup())
	if err != nil {
		return
	}
	for _, m := range out {
		c.pool = append(c.pool, message{to: to, from: i, replicate: &m})
	}
}

// deliver hands over a random message, which may stay for a repetition.
func (c *cluster) deliver() {
	if len(c.pool) == 0 {
		return
	}
	at := max(0, len(c.pool)-1-int(c.rng.ExpFloat64()*2))
	m := c.pool[at]
	if !c.healthy(m.to) || c.rng.IntN(6) != 0 {
		c.pool = append(c.pool[:at], c.pool[at+1:]...)
	}
	if len(c.pool) > 40 {
		c.pool = c.pool[10:]
	}
	if !c.healthy(m.to) {
		return
	}
	if m.ack != nil {
		c.nodes[m.to].store.HandleAck(*m.ack, c.now)
	} else if ack, ok := c.nodes[m.to].store.HandleReplicate(*m.replicate, c.now); ok {
		c.pool = append(c.pool, message{to: m.from, from: m.to, ack: &ack})
	}
}

// proceed sends or ends one run of the VM.
func (c *cluster) proceed(n *node) {
	if n.paused || n.lost || len(n.ready) == 0 {
		return
	}
	at := c.rng.IntN(len(n.ready))
	r := n.ready[at]
	if r.wait != nil {
		select {
		case d := <-r.wait:
			r.wait = nil
			if d.Outcome == Run {
				return
			}
			n.ready = append(n.ready[:at], n.ready[at+1:]...)
		default:
		}
		return
	}
	if !r.sent && c.rng.IntN(8) != 0 && c.now.Sub(r.decided) < requestDeadline {
		c.send(r)
		return
	}
	n.ready = append(n.ready[:at], n.ready[at+1:]...)
	switch {
	case !r.sent:
		n.store.Abandon(r.key, r.runID)
	case c.rng.IntN(4) == 0:
		n.store.MarkUnknown(r.key, r.runID, c.now)
	default:
		n.store.Finish(r.key, r.runID, Result{Status: 200}, c.now)
	}
}

func (c *cluster) send(r *request) {
	r.sent = true
	c.total++
	if last, ran := c.runs[r.key]; ran && c.now.Sub(last) < Window-requestDeadline {
		c.double++
	}
	c.runs[r.key] = c.now
}

// Guards against a second run of an idempotency key after loss of the holder, of
// the backup or of both, a paused holder whose role was given away, missed role
// messages, and replication messages delayed, repeated or lost.
func TestAtMostOneRunPerKey(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(seed)
			for range 30_000 {
				c.step()
			}
			is.Equal(c.double, 0)
			t.Logf("runs %d, replayed results %d, terms %d, time %v", c.total, c.replays, c.term, c.now.Sub(start))
			is.True(c.total > 0)
		})
	}
}

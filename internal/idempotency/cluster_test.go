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
	leaseDuration   = 700 * time.Millisecond
	leaseMargin     = 50 * time.Millisecond
	requestDeadline = 5 * time.Second
)

// node is one VM with its store and the runs that it has begun.
type node struct {
	store  *Store
	paused bool
	lost   bool
	runs   []*run
}

// run is a run from Begin to its end.
type run struct {
	node      *node
	key       Key
	runID     uint64
	decision  <-chan Decision
	decidedAt time.Time
	sent      bool
}

// message is a replication message or an acknowledgement between two nodes.
type message struct {
	to        int
	replicate *Replicate
	ack       *Ack
	from      int
}

// cluster simulates the decider, the network and the backend servers of one partition.
// It counts the runs that repeat a key within the window.
type cluster struct {
	rng                               *rand.Rand
	now                               time.Time
	nodes                             []*node
	network                           []message
	term                              uint64
	holder, backup                    int
	renewedAt                         time.Time
	revoking                          bool
	lastRunAt                         map[Key]time.Time
	totalRuns, duplicateRuns, replays int
}

// none stands for no node.
const none = -1

func newCluster(seed uint64) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(seed, 3)), now: start, lastRunAt: map[Key]time.Time{}, holder: none, backup: none}
	for range 4 {
		c.nodes = append(c.nodes, &node{store: NewStore(7)})
	}
	c.assign()
	return c
}

// assign begins a new term. It mostly promotes the backup if that is healthy, and
// mostly names a new backup.
func (c *cluster) assign() {
	next := c.backup
	if next == none || !c.healthy(next) || c.rng.IntN(25) == 0 {
		next = c.pickHealthy(none)
	}
	if next == none {
		return
	}
	c.term++
	c.holder, c.backup = next, c.pickHealthy(next)
	if c.rng.IntN(8) == 0 {
		c.backup = none
	}
	c.renewedAt = c.now
	c.revoking = false
	role := Role{Term: c.term, Holder: true, Previous: c.term - 1, LeaseUntil: c.now.Add(leaseDuration)}
	if c.backup != none {
		role.Backup = strconv.Itoa(c.backup)
	}
	c.nodes[c.holder].store.SetRole(role, c.now)
}

func (c *cluster) healthy(i int) bool { return !c.nodes[i].paused && !c.nodes[i].lost }

func (c *cluster) pickHealthy(except int) int {
	for _, i := range c.rng.Perm(len(c.nodes)) {
		if i != except && c.healthy(i) {
			return i
		}
	}
	return none
}

// renewOrAssign renews the lease of a healthy holder, or assigns the partition again
// once the lease has expired.
func (c *cluster) renewOrAssign() {
	switch {
	case c.healthy(c.holder) && !c.revoking:
		c.renewedAt = c.now
		c.nodes[c.holder].store.SetLease(c.term, c.now.Add(leaseDuration))
		if c.backup != none && c.healthy(c.backup) && c.rng.IntN(3) == 0 {
			c.nodes[c.backup].store.SetRole(Role{Term: c.term, Previous: c.term - 1}, c.now)
		}
	case c.now.Sub(c.renewedAt) > leaseDuration+leaseMargin:
		c.assign()
	}
}

// step performs one random event.
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
		c.advanceRun(n)
	case r < 9900:
		c.now = c.now.Add(time.Duration(c.rng.Int64N(int64(100 * time.Millisecond))))
		c.renewOrAssign()
	case r < 9904:
		c.revoking = true
	case r < 9909:
		n.paused = true
	case r < 9979:
		n.paused, n.lost = false, false
	case r < 9983:
		c.loseMemory(i)
		if c.rng.IntN(2) == 0 && c.backup != none {
			c.loseMemory(c.backup)
		}
	default:
		c.now = c.now.Add(time.Duration(c.rng.Int64N(int64(3 * time.Minute))))
	}
}

// loseMemory replaces the VM by a lost one with an empty store.
func (c *cluster) loseMemory(i int) {
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
		n.runs = append(n.runs, &run{node: n, key: key, runID: d.RunID, decidedAt: c.now})
	case Pending:
		n.runs = append(n.runs, &run{node: n, key: key, runID: d.RunID, decision: d.Ready, decidedAt: c.now})
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
		c.network = append(c.network, message{to: to, from: i, replicate: &m})
	}
}

// deliver delivers a random message, most often a recent one. The message may stay in
// the network and be delivered again. If more than 40 messages are left, the oldest 10
// are lost.
func (c *cluster) deliver() {
	if len(c.network) == 0 {
		return
	}
	index := max(0, len(c.network)-1-int(c.rng.ExpFloat64()*2))
	m := c.network[index]
	if !c.healthy(m.to) || c.rng.IntN(6) != 0 {
		c.network = append(c.network[:index], c.network[index+1:]...)
	}
	if len(c.network) > 40 {
		c.network = c.network[10:]
	}
	if !c.healthy(m.to) {
		return
	}
	if m.ack != nil {
		c.nodes[m.to].store.HandleAck(*m.ack, c.now)
	} else if ack, ok := c.nodes[m.to].store.HandleReplicate(*m.replicate, c.now); ok {
		c.network = append(c.network, message{to: m.from, from: m.to, ack: &ack})
	}
}

// advanceRun takes one run of the VM a step further: it receives the decision, sends
// the request or ends the run.
func (c *cluster) advanceRun(n *node) {
	if n.paused || n.lost || len(n.runs) == 0 {
		return
	}
	index := c.rng.IntN(len(n.runs))
	r := n.runs[index]
	if r.decision != nil {
		select {
		case d := <-r.decision:
			r.decision = nil
			if d.Outcome == Run {
				return
			}
			n.runs = append(n.runs[:index], n.runs[index+1:]...)
		default:
		}
		return
	}
	if !r.sent && c.rng.IntN(8) != 0 && c.now.Sub(r.decidedAt) < requestDeadline {
		c.send(r)
		return
	}
	n.runs = append(n.runs[:index], n.runs[index+1:]...)
	switch {
	case !r.sent:
		n.store.Abandon(r.key, r.runID)
	case c.rng.IntN(4) == 0:
		n.store.MarkUnknown(r.key, r.runID, c.now)
	default:
		n.store.Finish(r.key, r.runID, Result{Status: 200}, c.now)
	}
}

// send counts the run. It counts a duplicate if the key ran within the window less
// the time that a request may take from its decision to its sending.
func (c *cluster) send(r *run) {
	r.sent = true
	c.totalRuns++
	if last, ran := c.lastRunAt[r.key]; ran && c.now.Sub(last) < Window-requestDeadline {
		c.duplicateRuns++
	}
	c.lastRunAt[r.key] = c.now
}

// Guards against a second run of an idempotency key after the loss of the holder, the
// backup or both, after a pause of the holder during which its role was reassigned,
// after missed role messages, and after replication messages were delayed, repeated
// or lost.
func TestAtMostOneRunPerKey(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(seed)
			for range 30_000 {
				c.step()
			}
			is.Equal(c.duplicateRuns, 0)
			t.Logf("runs %d, replayed results %d, terms %d, time %v", c.totalRuns, c.replays, c.term, c.now.Sub(start))
			is.True(c.totalRuns > 0)
		})
	}
}

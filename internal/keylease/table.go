package keylease

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fireflyfield/internal/keyrange"
	"fireflyfield/internal/logfield"
	"fireflyfield/internal/sharedlog"
)

// Keys of the records in the topic of the assignment lease.
const (
	keyAssignment = "assignment"
	keyHeartbeat  = "beat"
	keyMembers    = "members"
)

// Table is each VM's copy of the recorded assignment. It is safe for concurrent use; no
// other lock is acquired while its lock is held.
type Table struct {
	log *zap.Logger

	current atomic.Pointer[keyrange.Assignment]
	// undecodable is set while the newest assignment record cannot be decoded: because a
	// newer version of the program wrote it, or another program did when no assignment was
	// known.
	undecodable atomic.Bool
	changed     atomic.Pointer[chan struct{}]

	mu sync.Mutex
	// next is the position after the newest record that was read.
	next sharedlog.Position
	// lastRecordAt is when the newest record arrived; lastReadSentAt is when the last
	// successful read was sent.
	lastRecordAt, lastReadSentAt time.Duration
	// earlierCallsUntil is the latest time at which a call of a lease holder before the recorded
	// one may reach a backend server.
	earlierCallsUntil time.Duration
}

// NewTable returns an empty table.
func NewTable(log *zap.Logger) *Table {
	t := &Table{log: log}
	signal := make(chan struct{})
	t.changed.Store(&signal)
	return t
}

// Current returns the newest decoded assignment, or nil if there is none.
func (t *Table) Current() *keyrange.Assignment { return t.current.Load() }

// Find returns the entry of the range that contains a key of a service, or nil if none
// is recorded.
func (t *Table) Find(service string, key int) *keyrange.Entry {
	if a := t.current.Load(); a != nil {
		return a.Find(service, key)
	}
	return nil
}

// Changed returns a channel that is closed at the next change of the assignment.
func (t *Table) Changed() <-chan struct{} { return *t.changed.Load() }

// notices are the contents of the newest heartbeat and list of members in a batch of
// records; nil if the batch has none.
type notices struct{ heartbeat, members []byte }

// apply updates the table from a batch of records and returns the last notices in it.
// sentAt is when the read was sent. An assignment that was restored with an older copy of
// the shared log does not replace a known one: the known one is the newer of the two, and
// the notices beside the restored one are as old.
func (t *Table) apply(batch sharedlog.Batch, sentAt, now time.Duration) (n notices) {
	restored := false
	for _, record := range batch.Records {
		switch record.Key {
		case keyHeartbeat:
			n.heartbeat = record.Value
		case keyMembers:
			n.members = record.Value
		case keyAssignment:
			assignment, err := keyrange.Decode(record.Value)
			if err != nil {
				// The lease holder records the known assignment again over that of another program.
				ignored := t.Current() != nil && !errors.Is(err, keyrange.ErrOtherFormat)
				t.log.Error("assignment record cannot be decoded", zap.Int64("offset", record.Offset), zap.Bool("ignored", ignored), logfield.Error(err))
				if !ignored {
					t.undecodable.Store(true)
				}
				continue
			}
			t.undecodable.Store(false)
			restored = assignment.Era < batch.Era && t.current.Load() != nil
			if !restored {
				t.noteEarlierCalls(assignment, now)
				t.set(assignment)
			}
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next, t.lastReadSentAt = batch.NextPosition(), max(t.lastReadSentAt, sentAt)
	if len(batch.Records) > 0 {
		t.lastRecordAt = now
	}
	if restored {
		return notices{}
	}
	return n
}

// noteEarlierCalls updates earlierCallsUntil for a record that arrives now. What a record states
// of earlier holders counts from its arrival, which is later than the record itself.
func (t *Table) noteEarlierCalls(next *keyrange.Assignment, now time.Duration) {
	last := t.current.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	sameHolder := last != nil && last.Holder == next.Holder
	stated := next.EarlierCalls
	if stated == keyrange.UnknownCalls {
		stated = 0
		if !sameHolder {
			stated = AssignmentLeaseDuration + grantTimeout
		}
	}
	until := now + stated
	switch {
	case next.Holder == "" && !next.Unconfirmed: // resigned, so no earlier call can matter any more
	case last == nil || last.Holder == "":
	case sameHolder, next.Holder == "" && next.Address != "" && next.Address == last.Address: // or given up by it
		until = max(until, t.earlierCallsUntil)
	default:
		until = max(until, t.earlierCallsUntil, t.lastRecordAt+AssignmentLeaseDuration+grantTimeout)
	}
	t.earlierCallsUntil = until
}

// callsOfEarlierHolders returns until when calls of lease holders before the recorded one may reach
// backend servers.
func (t *Table) callsOfEarlierHolders() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.earlierCallsUntil
}

// set replaces the assignment and closes the channel that Changed returned.
func (t *Table) set(assignment *keyrange.Assignment) {
	t.current.Store(assignment)
	next := make(chan struct{})
	close(*t.changed.Swap(&next))
}

// holderSilence returns for how long the lease holder has written nothing although reads
// succeeded, and the position at which a claim must be appended.
func (t *Table) holderSilence() (time.Duration, sharedlog.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastReadSentAt - t.lastRecordAt, t.next
}

// era returns the era of the shared log as of the newest read.
func (t *Table) era() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next.Era
}

// recordAndReadTimes returns when the newest record arrived, and when the last
// successful read was sent.
func (t *Table) recordAndReadTimes() (lastRecordAt, lastReadSentAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastRecordAt, t.lastReadSentAt
}

// holder returns the VM instance that holds the assignment lease according to the newest
// record; empty for none.
func (t *Table) holder() string {
	if a := t.current.Load(); a != nil {
		return a.Holder
	}
	return ""
}

// neverRead reports whether no read has succeeded yet.
func (t *Table) neverRead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastReadSentAt == 0
}

package keylease

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fireflyfield/internal/keyrange"
	"fireflyfield/internal/logfield"
	"fireflyfield/internal/sharedlog"
)

// Keys of the records in the topic of the lease.
const (
	keyAssignment = "assignment"
	keyBeat       = "beat"
	keyMembers    = "members"
)

// Table is the view that every VM has of the recorded assignment. Its lock is a
// leaf.
type Table struct {
	log *zap.Logger

	current atomic.Pointer[keyrange.Assignment]
	// unread is set while the newest assignment is one that cannot be read, as after a
	// newer version of the program wrote it.
	unread  atomic.Bool
	changed atomic.Pointer[chan struct{}]

	mu sync.Mutex
	// next is the offset after the newest record that was read.
	next int64
	// heard is when the newest record arrived; read is when the last successful read
	// was sent.
	heard, read time.Duration
}

// NewTable returns an empty table.
func NewTable(log *zap.Logger) *Table {
	t := &Table{log: log}
	signal := make(chan struct{})
	t.changed.Store(&signal)
	return t
}

// Current returns the newest assignment, or nil if none is known.
func (t *Table) Current() *keyrange.Assignment { return t.current.Load() }

// Find returns the entry of a key, or nil if none is recorded.
func (t *Table) Find(service string, key int) *keyrange.Entry {
	if a := t.current.Load(); a != nil {
		return a.Find(service, key)
	}
	return nil
}

// Changed returns a channel that is closed at the next change.
func (t *Table) Changed() <-chan struct{} { return *t.changed.Load() }

// notices are the contents of the holder's notices in a batch; nil for none.
type notices struct{ beat, members []byte }

// apply takes a batch of records and returns the last notices in it.
func (t *Table) apply(batch sharedlog.Batch, sent, now time.Duration) (n notices) {
	for _, record := range batch.Records {
		switch record.Key {
		case keyBeat:
			n.beat = record.Value
		case keyMembers:
			n.members = record.Value
		case keyAssignment:
			assignment, err := keyrange.Decode(record.Value)
			if err != nil {
				t.log.Error("record of the assignment cannot be read", zap.Int64("offset", record.Offset), logfield.Error(err))
				t.unread.Store(true)
				continue
			}
			t.unread.Store(false)
			t.set(assignment)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next, t.read = batch.Next, max(t.read, sent)
	if len(batch.Records) > 0 {
		t.heard = now
	}
	return n
}

func (t *Table) set(assignment *keyrange.Assignment) {
	t.current.Store(assignment)
	next := make(chan struct{})
	close(*t.changed.Swap(&next))
}

// silent reports for how long the holder wrote nothing although reads succeeded,
// and the offset at which a claim must be made.
func (t *Table) silent() (time.Duration, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.read - t.heard, t.next
}

// times returns when the newest record arrived, and when the last read was sent.
func (t *Table) times() (heard, read time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heard, t.read
}

// holder returns the instance that holds the lease as of the newest record.
func (t *Table) holder() string {
	if a := t.current.Load(); a != nil {
		return a.Holder
	}
	return ""
}

// notRead reports whether no read has succeeded yet.
func (t *Table) notRead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.read == 0
}

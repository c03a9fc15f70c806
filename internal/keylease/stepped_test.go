package keylease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/directory"
	"fireflyfield/internal/keyrange"
	"fireflyfield/internal/sharedlog"
)

// steppedLessor is a lessor whose steps, reads and clock are those of the test.
type steppedLessor struct {
	*Lessor
	t     *testing.T
	is    *is.I
	log   *vmLog
	clock *clock.Fake
	lines *observer.ObservedLogs
	// unfit, configKnown and members are what the options return.
	unfit, configKnown bool
	members            string
	// heartbeats counts the heartbeats that were encoded, one for each append of the holder.
	heartbeats byte
	sent       chan Grant
}

func newStepped(t *testing.T, log *memoryLog, name string) *steppedLessor {
	core, lines := observer.New(zap.InfoLevel)
	s := &steppedLessor{
		t: t, is: is.New(t), log: &vmLog{memoryLog: log}, clock: &clock.Fake{Time: time.Hour}, lines: lines,
		configKnown: true, members: "members", sent: make(chan Grant, 64),
	}
	server := Server{ID: "b", Address: "a", Started: 1, Usable: true, Capacity: 1}
	s.Lessor = NewLessor(LessorOptions{
		Log: s.log, Topic: "lease", Clock: s.clock, Table: NewTable(zap.NewNop()), Instance: name, Address: name, Logger: zap.New(core),
		Granter:     grantFunc(func(g Grant) error { s.sent <- g; return nil }),
		ConfigKnown: func() bool { return s.configKnown }, Preferred: func() bool { return true }, Unfit: func() bool { return s.unfit },
		Input: func() Input { return Input{Weight: noWeight, Servers: map[string][]Server{"s": {server}}} },
		Notices: func() ([]byte, []byte) {
			s.heartbeats++
			return []byte{s.heartbeats}, []byte(s.members)
		},
		OnHeartbeat: func([]byte) {}, OnMembers: func([]byte) {}, OnLeaseChange: func(bool) {},
	})
	s.results, s.appendResults = make(chan callResult, 64), make(chan appendResult, 64)
	return s
}

// startHolder returns a lessor that has acquired the lease of an empty topic.
func startHolder(t *testing.T, log *memoryLog, name string) *steppedLessor {
	s := newStepped(t, log, name)
	s.read()
	s.next()
	s.pass(maxClaimJitter)
	s.next()
	s.finish()
	s.is.True(s.lease != nil)
	return s
}

// next makes one step.
func (s *steppedLessor) next() { s.step(s.t.Context()) }

// pass lets time pass.
func (s *steppedLessor) pass(d time.Duration) { s.clock.Time += d }

// finish processes the result of the append in flight.
func (s *steppedLessor) finish() {
	s.t.Helper()
	select {
	case a := <-s.appendResults:
		s.finishAppend(a)
	case <-time.After(5 * time.Second):
		s.t.Fatal("no append is in flight")
	}
}

// read reads the topic, with a read that was sent now.
func (s *steppedLessor) read() { s.readSentAt(s.clock.Now()) }

// readSentAt reads the topic; the answer arrives now.
func (s *steppedLessor) readSentAt(sentAt time.Duration) {
	next, started := s.Follower().Cursor()
	batch, err := s.log.Read(s.t.Context(), "lease", next, 0)
	if !started || err != nil {
		batch, err = s.log.Newest(s.t.Context(), "lease")
		started = false
	}
	s.is.NoErr(err)
	s.Follower().Deliver(batch, directory.BatchInfo{Snapshot: !started, ConfirmedAt: sentAt})
}

// claims returns how many claims were appended.
func (s *steppedLessor) claims() int {
	return s.lines.FilterMessage("claiming the assignment lease").Len()
}

// newest returns the newest assignment of the topic.
func (s *steppedLessor) newest() *keyrange.Assignment {
	a, err := keyrange.Decode(s.log.memoryLog.newest(keyAssignment))
	s.is.NoErr(err)
	return a
}

// assignKeys makes the holder's core own all keys of a service by a recorded grant that is not sent.
func (s *steppedLessor) assignKeys() {
	for range 2 {
		s.lease.core.Step(s.clock.Now(), s.Input())
		s.pass(newServiceDelay)
	}
	s.lease.core.SetAccepted(s.lease.core.Version())
	s.lease.renewedAt = s.clock.Now()
}

// encode returns the record of an assignment.
func encode(t *testing.T, a keyrange.Assignment) sharedlog.Record {
	content, err := a.Encode()
	is.New(t).NoErr(err)
	return sharedlog.Record{Key: keyAssignment, Value: content}
}

// write appends records as another writer.
func (l *memoryLog) write(records ...sharedlog.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		r.Offset = int64(len(l.records))
		l.records = append(l.records, r)
	}
}

// otherFormat is an assignment of a format that this version does not know.
const otherFormat = "\xa1\x0a\x03"

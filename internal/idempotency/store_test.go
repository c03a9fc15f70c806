package idempotency

import (
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

var (
	testKey = Key{"w", "k"}
	testFP  = NewFingerprint("POST", "/paie/1", []byte("body"))
)

func alone(t *testing.T) *Store {
	t.Helper()
	s := NewStore(1)
	s.SetRole(Role{Term: 1, Holder: true, LeaseUntil: start.Add(time.Hour)}, start)
	return s
}

// pair returns a holder of term 1 and its backup with a complete copy.
func pair(t *testing.T) (holder, backup *Store) {
	t.Helper()
	holder, backup = NewStore(1), NewStore(1)
	holder.SetRole(Role{Term: 1, Holder: true, Backup: "b", LeaseUntil: start.Add(time.Second)}, start)
	backup.SetRole(Role{Term: 1}, start)
	exchange(t, holder, backup, start)
	return holder, backup
}

func exchange(t *testing.T, holder, backup *Store, now time.Time) {
	t.Helper()
	out, _ := holder.Poll(now)
	for _, m := range out {
		data, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		var received Replicate
		if err := cbor.Unmarshal(data, &received); err != nil {
			t.Fatal(err)
		}
		if ack, ok := backup.HandleReplicate(received, now); ok {
			holder.HandleAck(ack, now)
		}
	}
}

// Guards against a wrong answer to a repeat in each state of the first request.
func TestRepeats(t *testing.T) {
	is := is.New(t)
	s := alone(t)
	first := s.Begin(testKey, testFP, start)
	is.Equal(first.Outcome, Run)
	during := s.Begin(testKey, testFP, start)
	is.Equal(during.Outcome, InProgress)
	other := NewFingerprint("POST", "/paie/1b", []byte("ody"))
	is.Equal(s.Begin(testKey, other, start).Outcome, Mismatch)
	is.True(<-s.Finish(testKey, first.RunID, Result{Status: 201, Body: []byte("x")}, start))
	<-during.Finished
	after := s.Begin(testKey, testFP, start.Add(Window-1))
	is.Equal(after.Outcome, Done)
	is.Equal(after.Result.Status, 201)
	is.Equal(s.Begin(testKey, other, start).Outcome, Mismatch)
	is.Equal(s.Begin(testKey, testFP, start.Add(Window)).Outcome, Run)
}

// Guards against a run that ended without a result being repeated, and against
// one that was never sent blocking its retry.
func TestLoseAndAbandon(t *testing.T) {
	is := is.New(t)
	s := alone(t)
	first := s.Begin(testKey, testFP, start)
	s.Abandon(testKey, first.RunID)
	second := s.Begin(testKey, testFP, start)
	is.Equal(second.Outcome, Run)
	s.Abandon(testKey, first.RunID) // a late call of the first run
	s.MarkUnknown(testKey, second.RunID, start)
	is.Equal(s.Begin(testKey, testFP, start).Outcome, Unknown)
}

// Guards against results or keys beyond the bounds being kept, and against
// eviction.
func TestBounds(t *testing.T) {
	is := is.New(t)
	s := alone(t)
	large := s.Begin(testKey, testFP, start)
	s.Finish(testKey, large.RunID, Result{Body: make([]byte, MaxResultBytes+1)}, start)
	is.Equal(s.Begin(testKey, testFP, start).Outcome, Unknown)
	for i := range MaxEntries - 1 {
		key := Key{"w", strconv.Itoa(i)}
		d := s.Begin(key, testFP, start)
		is.Equal(d.Outcome, Run)
		s.Finish(key, d.RunID, Result{Body: make([]byte, MaxResultBytes)}, start)
	}
	is.True(s.entries.bytes <= MaxStoredBytes)
	refused := s.Begin(Key{"w", "more"}, testFP, start)
	is.Equal(refused.Outcome, NotRun)
	is.Equal(refused.Reason, ReasonTooManyKeys)
	is.Equal(s.Begin(Key{"other", "more"}, testFP, start).Outcome, Run)
	is.Equal(s.Begin(Key{"w", "0"}, testFP, start).Outcome, Done)
	is.Equal(s.Begin(Key{"w", "more"}, testFP, start.Add(Window)).Outcome, Run)
}

// Guards against losing results or intents with the holder.
func TestPromotedBackupKnowsRuns(t *testing.T) {
	is := is.New(t)
	holder, backup := pair(t)
	done, open := Key{"w", "done"}, Key{"w", "open"}
	for _, key := range []Key{done, open} {
		d := holder.Begin(key, testFP, start)
		is.Equal(d.Outcome, Pending)
		exchange(t, holder, backup, start)
		is.Equal((<-d.Ready).Outcome, Run)
		if key == done {
			answer := holder.Finish(key, d.RunID, Result{Status: 200}, start)
			is.Equal(len(answer), 0) // not before the backup has it
			exchange(t, holder, backup, start)
			is.True(<-answer)
		}
	}
	now := start.Add(2 * time.Second)
	backup.SetRole(Role{Term: 2, Holder: true, Previous: 1, LeaseUntil: now.Add(time.Second)}, now)
	is.Equal(backup.Begin(done, testFP, now).Outcome, Done)
	is.Equal(backup.Begin(open, testFP, now).Outcome, Unknown)
	is.Equal(backup.Begin(Key{"w", "new"}, testFP, now).Outcome, Run)
}

// Guards against a holder that was paused between intent and start, and whose
// lease has ended, starting the run.
func TestPausedHolderDoesNotStart(t *testing.T) {
	is := is.New(t)
	holder, backup := pair(t)
	d := holder.Begin(testKey, testFP, start)
	exchange(t, holder, backup, start.Add(time.Second))
	decided := <-d.Ready
	is.Equal(decided.Outcome, NotRun)
	is.Equal(decided.Reason, ReasonNotHolder)
}

// Guards against acknowledgements of another term, and against a backup that
// acknowledges changes after a gap.
func TestReplicationOrder(t *testing.T) {
	is := is.New(t)
	holder, backup := pair(t)
	d := holder.Begin(testKey, testFP, start)
	out, _ := holder.Poll(start)
	holder.HandleAck(Ack{Partition: 1, Term: 9, Seq: 2}, start)
	is.Equal(len(d.Ready), 0)
	gap := out[0]
	gap.FirstSeq++
	ack, ok := backup.HandleReplicate(gap, start)
	is.True(ok)
	is.Equal(ack.Seq, uint64(1)) // the end of the first copy
	is.Equal(len(backup.entries.byKey), 0)
}

// Guards against a request that waits for the backup staying undecided when the
// role changes.
func TestRoleChangeDecidesPending(t *testing.T) {
	is := is.New(t)
	holder, _ := pair(t)
	d := holder.Begin(testKey, testFP, start)
	holder.SetRole(Role{Term: 2, Holder: true, Previous: 1, LeaseUntil: start.Add(time.Second)}, start)
	is.Equal((<-d.Ready).Reason, ReasonRoleChanged)
	is.Equal(holder.Begin(testKey, testFP, start).Outcome, Run)
}

// Guards against a planned handover that loses keys, and against a partial copy
// being taken for a complete one.
func TestHandover(t *testing.T) {
	for _, missing := range []bool{false, true} {
		is := is.New(t)
		s := alone(t)
		for i := range 600 {
			key := Key{"w", strconv.Itoa(i)}
			d := s.Begin(key, testFP, start)
			if i > 0 {
				s.Finish(key, d.RunID, Result{Status: 200}, start)
			}
		}
		s.StartHandover()
		is.Equal(s.Begin(testKey, testFP, start).Reason, ReasonHandover)
		is.Equal(s.InFlight(), 1)
		chunks := s.Export(start)
		is.Equal(len(chunks), 3)
		is.Equal(s.Begin(Key{"w", "1"}, testFP, start).Reason, ReasonNotHolder)
		next := NewStore(1)
		if missing {
			chunks = chunks[1:]
		}
		for i := range chunks {
			is.Equal(next.Import(chunks[len(chunks)-1-i], start), !missing && i == 2)
		}
		next.SetRole(Role{Term: 2, Holder: true, Previous: 1, LeaseUntil: start.Add(time.Hour)}, start)
		is.Equal(next.Begin(Key{"w", "0"}, testFP, start).Outcome, Unknown)
		is.Equal(next.Begin(Key{"w", "599"}, testFP, start).Outcome, Done)
		want := Run
		if missing {
			want = Unknown
		}
		is.Equal(next.Begin(testKey, testFP, start).Outcome, want)
	}
}

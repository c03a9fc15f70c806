package idempotency

import (
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

var (
	testKey         = Key{"w", "k"}
	testFingerprint = NewFingerprint("POST", "/paie/1", []byte("body"))
)

// newHolderWithoutBackup returns a holder of term 1.
func newHolderWithoutBackup(t *testing.T) *Store {
	t.Helper()
	s := NewStore(1)
	s.SetRole(Role{Term: 1, Holder: true, LeaseUntil: start.Add(time.Hour)}, start)
	return s
}

// newHolderAndBackup returns a holder of term 1 with a lease of 1 s, and its backup with
// a complete copy.
func newHolderAndBackup(t *testing.T) (holder, backup *Store) {
	t.Helper()
	holder, backup = NewStore(1), NewStore(1)
	holder.SetRole(Role{Term: 1, Holder: true, Backup: "b", LeaseUntil: start.Add(time.Second)}, start)
	backup.SetRole(Role{Term: 1}, start)
	replicate(t, holder, backup, start)
	return holder, backup
}

// replicate sends all changes of the holder to the backup, CBOR-encoded, and the
// acknowledgements back.
func replicate(t *testing.T, holder, backup *Store, now time.Time) {
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

// Guards against a wrong decision on a repeat before and after the end of the first
// request, and on another request with the same key.
func TestBeginDecidesRepeats(t *testing.T) {
	is := is.New(t)
	s := newHolderWithoutBackup(t)
	first := s.Begin(testKey, testFingerprint, start)
	is.Equal(first.Outcome, Run)
	during := s.Begin(testKey, testFingerprint, start)
	is.Equal(during.Outcome, InProgress)
	other := NewFingerprint("POST", "/paie/1b", []byte("ody"))
	is.Equal(s.Begin(testKey, other, start).Outcome, Mismatch)
	is.True(<-s.Finish(testKey, first.RunID, Result{Status: 201, Body: []byte("x")}, start))
	<-during.Finished
	after := s.Begin(testKey, testFingerprint, start.Add(Window-1))
	is.Equal(after.Outcome, Done)
	is.Equal(after.Result.Status, 201)
	is.Equal(s.Begin(testKey, other, start).Outcome, Mismatch)
	is.Equal(s.Begin(testKey, testFingerprint, start.Add(Window)).Outcome, Run)
}

// Guards against repeating a run that ended without a known result, and against a run
// that was never sent blocking its retry.
func TestMarkUnknownAndAbandon(t *testing.T) {
	is := is.New(t)
	s := newHolderWithoutBackup(t)
	first := s.Begin(testKey, testFingerprint, start)
	s.Abandon(testKey, first.RunID)
	second := s.Begin(testKey, testFingerprint, start)
	is.Equal(second.Outcome, Run)
	s.Abandon(testKey, first.RunID) // a late call for the first run has no effect
	s.MarkUnknown(testKey, second.RunID, start)
	is.Equal(s.Begin(testKey, testFingerprint, start).Outcome, Unknown)
}

// Guards against storing results or keys beyond the limits, and against evicting
// entries to make room for new ones.
func TestKeyAndResultLimits(t *testing.T) {
	is := is.New(t)
	s := newHolderWithoutBackup(t)
	large := s.Begin(testKey, testFingerprint, start)
	s.Finish(testKey, large.RunID, Result{Body: make([]byte, MaxResultBytes+1)}, start)
	is.Equal(s.Begin(testKey, testFingerprint, start).Outcome, Unknown)
	for i := range MaxEntries - 1 {
		key := Key{"w", strconv.Itoa(i)}
		d := s.Begin(key, testFingerprint, start)
		is.Equal(d.Outcome, Run)
		s.Finish(key, d.RunID, Result{Body: make([]byte, MaxResultBytes)}, start)
	}
	is.True(s.entries.resultBytes <= MaxStoredBytes)
	rejected := s.Begin(Key{"w", "more"}, testFingerprint, start)
	is.Equal(rejected.Outcome, NotRun)
	is.Equal(rejected.Reason, ReasonTooManyKeys)
	is.Equal(s.Begin(Key{"other", "more"}, testFingerprint, start).Outcome, Run)
	is.Equal(s.Begin(Key{"w", "0"}, testFingerprint, start).Outcome, Done)
	is.Equal(s.Begin(Key{"w", "more"}, testFingerprint, start.Add(Window)).Outcome, Run)
}

// Guards against losing results or intents when the holder is lost and its backup is
// promoted.
func TestPromotedBackupHasResultsAndIntents(t *testing.T) {
	is := is.New(t)
	holder, backup := newHolderAndBackup(t)
	done, running := Key{"w", "done"}, Key{"w", "open"}
	for _, key := range []Key{done, running} {
		d := holder.Begin(key, testFingerprint, start)
		is.Equal(d.Outcome, Pending)
		replicate(t, holder, backup, start)
		is.Equal((<-d.Ready).Outcome, Run)
		if key == done {
			answer := holder.Finish(key, d.RunID, Result{Status: 200}, start)
			is.Equal(len(answer), 0) // no answer before the backup has the result
			replicate(t, holder, backup, start)
			is.True(<-answer)
		}
	}
	now := start.Add(2 * time.Second)
	backup.SetRole(Role{Term: 2, Holder: true, Previous: 1, LeaseUntil: now.Add(time.Second)}, now)
	is.Equal(backup.Begin(done, testFingerprint, now).Outcome, Done)
	is.Equal(backup.Begin(running, testFingerprint, now).Outcome, Unknown)
	is.Equal(backup.Begin(Key{"w", "new"}, testFingerprint, now).Outcome, Run)
}

// Guards against a run that is started by a holder which was paused after sending the
// intent and whose lease has expired meanwhile.
func TestPausedHolderDoesNotStart(t *testing.T) {
	is := is.New(t)
	holder, backup := newHolderAndBackup(t)
	d := holder.Begin(testKey, testFingerprint, start)
	replicate(t, holder, backup, start.Add(time.Second))
	decided := <-d.Ready
	is.Equal(decided.Outcome, NotRun)
	is.Equal(decided.Reason, ReasonNotHolder)
}

// Guards against accepting acknowledgements of another term, and against a backup that
// applies and acknowledges changes after a gap.
func TestReplicationRejectsOtherTermAndGap(t *testing.T) {
	is := is.New(t)
	holder, backup := newHolderAndBackup(t)
	d := holder.Begin(testKey, testFingerprint, start)
	out, _ := holder.Poll(start)
	holder.HandleAck(Ack{Partition: 1, Term: 9, Seq: 2}, start)
	is.Equal(len(d.Ready), 0)
	gap := out[0]
	gap.FirstSeq++
	ack, ok := backup.HandleReplicate(gap, start)
	is.True(ok)
	is.Equal(ack.Seq, uint64(1)) // the CopyComplete change at the start of the term
	is.Equal(len(backup.entries.byKey), 0)
}

// Guards against leaving a request undecided that waits for the backup when the role
// changes.
func TestRoleChangeRejectsPendingRequest(t *testing.T) {
	is := is.New(t)
	holder, _ := newHolderAndBackup(t)
	d := holder.Begin(testKey, testFingerprint, start)
	holder.SetRole(Role{Term: 2, Holder: true, Previous: 1, LeaseUntil: start.Add(time.Second)}, start)
	is.Equal((<-d.Ready).Reason, ReasonRoleChanged)
	is.Equal(holder.Begin(testKey, testFingerprint, start).Outcome, Run)
}

// Guards against a planned handover that loses keys, and against mistaking a partial
// copy for a complete one.
func TestHandoverTransfersEntries(t *testing.T) {
	for _, missing := range []bool{false, true} {
		is := is.New(t)
		s := newHolderWithoutBackup(t)
		for i := range 600 {
			key := Key{"w", strconv.Itoa(i)}
			d := s.Begin(key, testFingerprint, start)
			if i > 0 {
				s.Finish(key, d.RunID, Result{Status: 200}, start)
			}
		}
		s.StartHandover()
		is.Equal(s.Begin(testKey, testFingerprint, start).Reason, ReasonHandover)
		is.Equal(s.InFlight(), 1)
		chunks := s.Export(start)
		is.Equal(len(chunks), 3)
		is.Equal(s.Begin(Key{"w", "1"}, testFingerprint, start).Reason, ReasonNotHolder)
		next := NewStore(1)
		if missing {
			chunks = chunks[1:]
		}
		for i := range chunks {
			is.Equal(next.Import(chunks[len(chunks)-1-i], start), !missing && i == 2)
		}
		next.SetRole(Role{Term: 2, Holder: true, Previous: 1, LeaseUntil: start.Add(time.Hour)}, start)
		is.Equal(next.Begin(Key{"w", "0"}, testFingerprint, start).Outcome, Unknown)
		is.Equal(next.Begin(Key{"w", "599"}, testFingerprint, start).Outcome, Done)
		want := Run
		if missing {
			want = Unknown
		}
		is.Equal(next.Begin(testKey, testFingerprint, start).Outcome, want)
	}
}

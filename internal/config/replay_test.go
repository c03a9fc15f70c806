package config

import (
	"fmt"
	"strings"
	"testing"

	"fireflyfield/internal/resource"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a change that takes effect although its base revision is outdated.
func TestOutdatedBaseRevisionIsRefused(t *testing.T) {
	is := is.New(t)
	s := NewState()
	is.True(applyChanges(s, putChange(t, failureDomain("plateau"), 0)).Outcome.Accepted())
	outdated := applyChanges(s, putChange(t, failureDomain("plateau"), 0))
	is.Equal(refusalReason(outdated), ReasonConflict)
	is.Equal(outdated.Outcome.Refusal.Current, uint64(1))
	is.True(applyChanges(s, putChange(t, failureDomain("plateau"), 1)).Outcome.Accepted())
	is.Equal(refusalReason(applyChanges(s, Delete(idOf(resource.KindFailureDomain, "plateau"), 1))), ReasonConflict)
	is.True(applyChanges(s, Delete(idOf(resource.KindFailureDomain, "plateau"), 3)).Outcome.Accepted())
	is.Equal(len(s.View().FailureDomains()), 0)
}

// Guards against one change of a record taking effect when another is refused.
func TestChangesOfOneRecordAreAtomic(t *testing.T) {
	is := is.New(t)
	s := NewState()
	result := applyChanges(s, putChange(t, failureDomain("plateau"), 0), putChange(t, workspace("clinic"), 7))
	is.Equal(refusalReason(result), ReasonConflict)
	is.Equal(len(s.View().FailureDomains()), 0)
	result = applyChanges(s, putChange(t, service("entretien", "e1"), 0), putChange(t, failureDomain("plateau"), 0))
	is.True(result.Outcome.Accepted()) // references resolve within the record
}

// Guards against a second copy of a record that takes effect after its resource was
// deleted, within the dedup window and beyond it.
func TestDuplicatesAreDropped(t *testing.T) {
	is := is.New(t)
	s := NewState()
	record := NewRecord(recordID(99), 0, putChange(t, failureDomain("plateau"), 0))
	is.True(s.Apply(1, record).Outcome.Accepted())
	is.True(applyChanges(s, Delete(idOf(resource.KindFailureDomain, "plateau"), 1)).Outcome.Accepted())
	duplicate := s.Apply(3, record)
	is.True(duplicate.Duplicate)
	is.Equal(duplicate.Outcome.Offset, uint64(1))
	is.True(s.Apply(3, record).Stale)

	for s.Position() < DedupWindow+5 {
		applyChanges(s, putChange(t, failureDomain("medina"), 1))
	}
	beyond := s.Apply(s.Position()+1, record)
	is.True(!beyond.Duplicate)
	is.Equal(refusalReason(beyond), ReasonExpired)
	is.True(len(s.dedup.outcomes) <= DedupWindow)
	is.Equal(len(s.dedup.outcomes), len(s.dedup.order))
	is.Equal(len(s.View().FailureDomains()), 0)
}

// Guards against replay accepting a change that is not valid or that breaks other
// resources.
func TestReplayRefusesInvalidChanges(t *testing.T) {
	base := func() *State {
		s := NewState()
		applyChanges(s, putChange(t, failureDomain("plateau"), 0), putChange(t, service("entretien", "e1", "e2"), 0), putChange(t, workspace("clinic"), 0),
			putChange(t, callerKey("k1", "clinic", 1), 0), putChange(t, drain("d1", "entretien", "e1"), 0))
		return s
	}
	changed := service("entretien", "e1", "e2")
	changed.Spec.(*resource.ServiceSpec).Slices = 32
	wrongName := putChange(t, workspace("shop"), 0)
	wrongName.Name = "other"
	cases := []struct {
		name    string
		changes []Change
		want    Reason
	}{
		{"dangling reference", []Change{putChange(t, callerKey("k2", "nobody", 2), 0)}, ReasonReference},
		{"delete of a resource in use", []Change{Delete(idOf(resource.KindWorkspace, "clinic"), 1)}, ReasonInUse},
		{"delete together with the referrers", []Change{Delete(idOf(resource.KindWorkspace, "clinic"), 1), Delete(idOf(resource.KindCallerKey, "k1"), 1)}, ""},
		{"drained server removed", []Change{putChange(t, service("entretien", "e2"), 1)}, ReasonInUse},
		{"slices changed", []Change{putChange(t, changed, 1)}, ReasonImmutable},
		{"same digest", []Change{putChange(t, callerKey("k2", "clinic", 1), 0)}, ReasonDuplicate},
		{"same digest in one record", []Change{putChange(t, callerKey("k2", "clinic", 3), 0), putChange(t, callerKey("k3", "clinic", 3), 0)}, ReasonDuplicate},
		{"digest moved to another key", []Change{putChange(t, callerKey("k2", "clinic", 1), 0), Delete(idOf(resource.KindCallerKey, "k1"), 1)}, ""},
		{"same resource twice in one record", []Change{putChange(t, workspace("shop"), 0), putChange(t, workspace("shop"), 0)}, ReasonInvalid},
		{"document of another resource", []Change{wrongName}, ReasonInvalid},
		{"invalid document", []Change{putChange(t, workspace("Not Valid"), 0)}, ReasonInvalid},
		{"unknown kind", []Change{{Op: OpDelete, Kind: "Pod", Name: "x"}}, ReasonInvalid},
		{"delete of a missing resource", []Change{Delete(idOf(resource.KindRate, "r"), 0)}, ReasonConflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := base()
			before := s.View()
			is.Equal(refusalReason(applyChanges(s, c.changes...)), c.want)
			if c.want != "" {
				is.Equal(s.View().List(resource.KindCallerKey), before.List(resource.KindCallerKey))
			}
		})
	}
}

// Guards against more resources of a kind than allowed.
func TestResourceCountIsLimited(t *testing.T) {
	is := is.New(t)
	s := NewState()
	for range MaxResources(resource.KindFailureDomain) {
		is.True(applyChanges(s, putChange(t, failureDomain("d"+strings.Repeat("x", int(s.Position())%60)+string(rune('a'+s.Position()/60))), 0)).Outcome.Accepted())
	}
	is.Equal(refusalReason(applyChanges(s, putChange(t, failureDomain("more"), 0))), ReasonLimit)
}

// Guards against a VM that skips a record of a newer version, which newer VMs accept.
// A malformed record is refused by all VMs and doesn't stop replay.
func TestNewerVersionStopsReplay(t *testing.T) {
	is := is.New(t)
	s := NewState()
	data, err := encoding.Marshal(map[int]any{1: RecordVersion + 1, 9: "new"})
	is.NoErr(err)
	_, err = s.ApplyData(1, data)
	is.True(err != nil)
	is.Equal(s.Position(), uint64(0))
	result, err := s.ApplyData(1, []byte("garbage"))
	is.NoErr(err)
	is.Equal(refusalReason(result), ReasonMalformed)
	is.Equal(s.Position(), uint64(1))
}

// Guards against VMs whose states differ: a VM that replays every record, and one that
// starts from a snapshot and reads later records twice, reach the same bytes. Also
// guards against a snapshot that takes a state back to a lower position.
func TestEveryVMReachesTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := drawRecords(t)
		snapshotAt := rapid.IntRange(0, len(stream)).Draw(t, "cut")
		full, early := NewState(), NewState()
		for i, record := range stream {
			full.Apply(uint64(i+1), record)
			if i < snapshotAt {
				early.Apply(uint64(i+1), record)
			}
		}
		restored := NewState()
		if err := restored.Restore([]byte(encodedState(t, early))); err != nil {
			t.Fatal(err)
		}
		for i, record := range stream {
			restored.Apply(uint64(i+1), record)
			restored.Apply(uint64(i+1), record)
		}
		if encodedState(t, full) != encodedState(t, restored) {
			t.Fatal("the state replayed in full differs from the state restored from a snapshot")
		}
		if err := full.Restore([]byte(encodedState(t, early))); snapshotAt < len(stream) && err == nil {
			t.Fatal("a snapshot below the position of the state was restored")
		}
	})
}

func drawRecords(t *rapid.T) []Record {
	var stream []Record
	for i := range rapid.IntRange(0, 30).Draw(t, "records") {
		name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
		base := rapid.Uint64Range(0, uint64(i)).Draw(t, "base")
		r := rapid.SampledFrom([]resource.Resource{failureDomain(name), workspace(name), callerKey(name, "a", 1), service(name, "e1")}).Draw(t, "resource")
		change := putChange(t, r, base)
		if rapid.Bool().Draw(t, "delete") {
			change = Delete(r.ID(), base)
		}
		stream = append(stream, NewRecord(recordID(rapid.Uint64Range(1, 20).Draw(t, "id")), 0, change))
	}
	return stream
}

// Guards against a state that is too large for a snapshot.
func TestTotalBytesAreBounded(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.maxBytes = 64 << 10
	applyChanges(s, putChange(t, failureDomain("plateau"), 0))
	large := service("large", strings.Split(strings.Repeat("e", 50), "")...)
	for i := range large.Spec.(*resource.ServiceSpec).BackendServers {
		large.Spec.(*resource.ServiceSpec).BackendServers[i].Name = fmt.Sprintf("e%d", i)
	}
	added := 0
	for refusalReason(applyChanges(s, putChange(t, withNameSuffix(large, added), 0))) == "" {
		added++
	}
	is.True(added > 1 && s.bytes() <= s.maxBytes)
	restored := NewState()
	is.NoErr(restored.Restore([]byte(encodedState(t, s))))
	is.Equal(restored.bytes(), s.bytes())
	is.True(applyChanges(s, Delete(idOf(resource.KindService, "large-0"), 2)).Outcome.Accepted())
	is.Equal(refusalReason(applyChanges(s, putChange(t, withNameSuffix(large, added), 0))), Reason(""))
}

// Guards against a history that keeps old versions of large resources without a
// bound, and against a watch that misses a dropped event without notice.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	s := NewState()
	for revision := uint64(1); revision <= 100; revision++ {
		s.history.add(Event{Revision: revision, size: 1 << 20})
	}
	is.True(s.history.bytes <= maxHistoryBytes)
	kept := uint64(len(s.history.events))
	events, _, complete := s.Since(100 - kept)
	is.True(complete)
	is.Equal(uint64(len(events)), kept)
	_, _, complete = s.Since(100 - kept - 1)
	is.True(!complete)
}

func withNameSuffix(r resource.Resource, n int) resource.Resource {
	r.Metadata.Name = fmt.Sprintf("%s-%d", r.Metadata.Name, n)
	return r
}

// Guards against a view that changes after a reader has obtained it.
func TestViewsAreImmutable(t *testing.T) {
	is := is.New(t)
	s := NewState()
	applyChanges(s, putChange(t, workspace("b"), 0), putChange(t, workspace("d"), 0))
	before := s.View()
	applyChanges(s, putChange(t, workspace("b"), 1), Delete(idOf(resource.KindWorkspace, "d"), 1), putChange(t, workspace("a"), 0))
	applyChanges(s, putChange(t, workspace("c"), 0))
	names := func(v *View) (text string) {
		for _, w := range v.Workspaces() {
			text += fmt.Sprintf("%s%d ", w.Name, w.Revision)
		}
		return text
	}
	is.Equal(names(before), "b1 d1 ")
	is.Equal(names(s.View()), "a2 b2 c3 ")
}

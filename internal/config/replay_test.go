package config

import (
	"fmt"
	"strings"
	"testing"

	"fireflyfield/internal/resource"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a record that takes effect although its base is outdated.
func TestCompareAndSet(t *testing.T) {
	is := is.New(t)
	s := NewState()
	is.True(apply(s, put(t, domain("plateau"), 0)).Outcome.Accepted())
	late := apply(s, put(t, domain("plateau"), 0))
	is.Equal(refusedFor(late), ReasonConflict)
	is.Equal(late.Outcome.Refusal.Current, uint64(1))
	is.True(apply(s, put(t, domain("plateau"), 1)).Outcome.Accepted())
	is.Equal(refusedFor(apply(s, Delete(ref(resource.KindFailureDomain, "plateau"), 1))), ReasonConflict)
	is.True(apply(s, Delete(ref(resource.KindFailureDomain, "plateau"), 3)).Outcome.Accepted())
	is.Equal(len(s.View().FailureDomains()), 0)
}

// Guards against one part of an apply taking effect when another is refused.
func TestChangesOfOneRecordAreAtomic(t *testing.T) {
	is := is.New(t)
	s := NewState()
	result := apply(s, put(t, domain("plateau"), 0), put(t, workspace("clinic"), 7))
	is.Equal(refusedFor(result), ReasonConflict)
	is.Equal(len(s.View().FailureDomains()), 0)
	result = apply(s, put(t, service("entretien", "e1"), 0), put(t, domain("plateau"), 0))
	is.True(result.Outcome.Accepted()) // references resolve within the record
}

// Guards against a second copy of a record taking effect after a deletion, within
// the memory of identifiers and beyond it.
func TestDuplicatesAreDropped(t *testing.T) {
	is := is.New(t)
	s := NewState()
	record := NewRecord(id(99), 0, put(t, domain("plateau"), 0))
	is.True(s.Apply(1, record).Outcome.Accepted())
	is.True(apply(s, Delete(ref(resource.KindFailureDomain, "plateau"), 1)).Outcome.Accepted())
	again := s.Apply(3, record)
	is.True(again.Duplicate)
	is.Equal(again.Outcome.Offset, uint64(1))
	is.True(s.Apply(3, record).Stale)

	for s.Position() < IdentifierWindow+5 {
		apply(s, put(t, domain("medina"), 1))
	}
	beyond := s.Apply(s.Position()+1, record)
	is.True(!beyond.Duplicate)
	is.Equal(refusedFor(beyond), ReasonExpired)
	is.True(len(s.ids.outcomes) <= IdentifierWindow)
	is.Equal(len(s.ids.outcomes), len(s.ids.order))
	is.Equal(len(s.View().FailureDomains()), 0)
}

// Guards against replay accepting what would break other resources.
func TestReplayChecks(t *testing.T) {
	base := func() *State {
		s := NewState()
		apply(s, put(t, domain("plateau"), 0), put(t, service("entretien", "e1", "e2"), 0), put(t, workspace("clinic"), 0),
			put(t, callerKey("k1", "clinic", 1), 0), put(t, drain("d1", "entretien", "e1"), 0))
		return s
	}
	changed := service("entretien", "e1", "e2")
	changed.Spec.(*resource.ServiceSpec).Slices = 32
	wrongName := put(t, workspace("shop"), 0)
	wrongName.Name = "other"
	cases := []struct {
		name    string
		changes []Change
		want    Reason
	}{
		{"dangling reference", []Change{put(t, callerKey("k2", "nobody", 2), 0)}, ReasonReference},
		{"delete in use", []Change{Delete(ref(resource.KindWorkspace, "clinic"), 1)}, ReasonInUse},
		{"delete with referrers", []Change{Delete(ref(resource.KindWorkspace, "clinic"), 1), Delete(ref(resource.KindCallerKey, "k1"), 1)}, ""},
		{"drained server removed", []Change{put(t, service("entretien", "e2"), 1)}, ReasonInUse},
		{"slices changed", []Change{put(t, changed, 1)}, ReasonImmutable},
		{"same digest", []Change{put(t, callerKey("k2", "clinic", 1), 0)}, ReasonDuplicate},
		{"same digest in one record", []Change{put(t, callerKey("k2", "clinic", 3), 0), put(t, callerKey("k3", "clinic", 3), 0)}, ReasonDuplicate},
		{"digest handed over", []Change{put(t, callerKey("k2", "clinic", 1), 0), Delete(ref(resource.KindCallerKey, "k1"), 1)}, ""},
		{"twice in one record", []Change{put(t, workspace("shop"), 0), put(t, workspace("shop"), 0)}, ReasonInvalid},
		{"other document", []Change{wrongName}, ReasonInvalid},
		{"invalid document", []Change{put(t, workspace("Not Valid"), 0)}, ReasonInvalid},
		{"unknown kind", []Change{{Op: OpDelete, Kind: "Pod", Name: "x"}}, ReasonInvalid},
		{"delete nothing", []Change{Delete(ref(resource.KindRate, "r"), 0)}, ReasonConflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := base()
			before := s.View()
			is.Equal(refusedFor(apply(s, c.changes...)), c.want)
			if c.want != "" {
				is.Equal(s.View().List(resource.KindCallerKey), before.List(resource.KindCallerKey))
			}
		})
	}
}

// Guards against a kind growing past its limit.
func TestLimit(t *testing.T) {
	is := is.New(t)
	s := NewState()
	for range MaxResources(resource.KindFailureDomain) {
		is.True(apply(s, put(t, domain("d"+strings.Repeat("x", int(s.Position())%60)+string(rune('a'+s.Position()/60))), 0)).Outcome.Accepted())
	}
	is.Equal(refusedFor(apply(s, put(t, domain("more"), 0))), ReasonLimit)
}

// Guards against skipping a record that newer VMs accept.
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
	is.Equal(refusedFor(result), ReasonMalformed)
	is.Equal(s.Position(), uint64(1))
}

// Guards against VMs that differ: one that replays everything, one that starts
// from a snapshot, and one that sees records twice end in the same bytes.
func TestEveryVMReachesTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := drawStream(t)
		cut := rapid.IntRange(0, len(stream)).Draw(t, "cut")
		full, early := NewState(), NewState()
		for i, record := range stream {
			full.Apply(uint64(i+1), record)
			if i < cut {
				early.Apply(uint64(i+1), record)
			}
		}
		late := NewState()
		if err := late.Restore([]byte(snapshotOf(t, early))); err != nil {
			t.Fatal(err)
		}
		for i, record := range stream {
			late.Apply(uint64(i+1), record)
			late.Apply(uint64(i+1), record)
		}
		if snapshotOf(t, full) != snapshotOf(t, late) {
			t.Fatal("the states differ")
		}
		if err := full.Restore([]byte(snapshotOf(t, early))); cut < len(stream) && err == nil {
			t.Fatal("a lower revision was applied")
		}
	})
}

func drawStream(t *rapid.T) []Record {
	var stream []Record
	for i := range rapid.IntRange(0, 30).Draw(t, "records") {
		name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
		base := rapid.Uint64Range(0, uint64(i)).Draw(t, "base")
		r := rapid.SampledFrom([]resource.Resource{domain(name), workspace(name), callerKey(name, "a", 1), service(name, "e1")}).Draw(t, "resource")
		change := put(t, r, base)
		if rapid.Bool().Draw(t, "delete") {
			change = Delete(r.ID(), base)
		}
		stream = append(stream, NewRecord(id(rapid.Uint64Range(1, 20).Draw(t, "id")), 0, change))
	}
	return stream
}

// Guards against a state that no snapshot can hold.
func TestBytesAreBounded(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.maxBytes = 64 << 10
	apply(s, put(t, domain("plateau"), 0))
	large := service("large", strings.Split(strings.Repeat("e", 50), "")...)
	for i := range large.Spec.(*resource.ServiceSpec).BackendServers {
		large.Spec.(*resource.ServiceSpec).BackendServers[i].Name = fmt.Sprintf("e%d", i)
	}
	added := 0
	for refusedFor(apply(s, put(t, renamed(large, added), 0))) == "" {
		added++
	}
	is.True(added > 1 && s.bytes() <= s.maxBytes)
	restored := NewState()
	is.NoErr(restored.Restore([]byte(snapshotOf(t, s))))
	is.Equal(restored.bytes(), s.bytes())
	is.True(apply(s, Delete(ref(resource.KindService, "large-0"), 2)).Outcome.Accepted())
	is.Equal(refusedFor(apply(s, put(t, renamed(large, added), 0))), Reason(""))
}

// Guards against a history that keeps old versions of large resources without a
// bound, and against a watch that misses an event which was dropped.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	s := NewState()
	for revision := uint64(1); revision <= 100; revision++ {
		s.history.add(Event{Revision: revision, size: 1 << 20})
	}
	is.True(s.history.bytes <= historyBytes)
	kept := uint64(len(s.history.events))
	events, _, complete := s.Since(100 - kept)
	is.True(complete)
	is.Equal(uint64(len(events)), kept)
	_, _, complete = s.Since(100 - kept - 1)
	is.True(!complete)
}

func renamed(r resource.Resource, n int) resource.Resource {
	r.Metadata.Name = fmt.Sprintf("%s-%d", r.Metadata.Name, n)
	return r
}

// Guards against readers that see a view change under them.
func TestViewsAreImmutable(t *testing.T) {
	is := is.New(t)
	s := NewState()
	apply(s, put(t, workspace("b"), 0), put(t, workspace("d"), 0))
	before := s.View()
	apply(s, put(t, workspace("b"), 1), Delete(ref(resource.KindWorkspace, "d"), 1), put(t, workspace("a"), 0))
	apply(s, put(t, workspace("c"), 0))
	names := func(v *View) (text string) {
		for _, w := range v.Workspaces() {
			text += fmt.Sprintf("%s%d ", w.Name, w.Revision)
		}
		return text
	}
	is.Equal(names(before), "b1 d1 ")
	is.Equal(names(s.View()), "a2 b2 c3 ")
}

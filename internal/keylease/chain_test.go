package keylease

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/keyrange"
	"fireflyfield/internal/sharedlog"
)

// TestCallsOfEarlierHolder guards against a VM that claims the assignment lease shortly after
// another VM took it from a silent holder, and does not count the calls of the silent one: it may
// renew leases until the lease of its own last record has ended.
func TestCallsOfEarlierHolder(t *testing.T) {
	entries := []keyrange.Entry{{Range: keyrange.Range{Last: keyrange.MaxKey}, Backend: "b", Address: "b", Started: 1, Fence: 1}}
	for name, second := range map[string]keyrange.Assignment{
		"the second holder has ended":      {Holder: "second", Address: "third"},
		"the second holder gave it up":     {Unconfirmed: true},
		"the claim was its own":            {Holder: "third", Address: "third"},
		"the second holder is silent, too": {Holder: "second", Address: "second"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fake := &clock.Fake{Time: time.Minute}
			table := NewTable(zap.NewNop())
			record := func(offset int64, a keyrange.Assignment) {
				a.Services = map[string][]keyrange.Entry{"s": entries}
				content, err := a.Encode()
				is.NoErr(err)
				table.apply(sharedlog.Batch{
					Records: []sharedlog.Record{{Key: keyAssignment, Value: content, Offset: offset}}, Next: offset + 1,
				}, fake.Now(), fake.Now())
			}
			record(0, keyrange.Assignment{Holder: "first", Address: "first"})
			renewsUntil := fake.Now() + AssignmentLeaseDuration
			fake.Time += ClaimAfter
			record(1, second)
			fake.Time += 100 * time.Millisecond
			l := NewLessor(LessorOptions{Clock: fake, Table: table, Instance: "third", Address: "third", Logger: zap.NewNop()})
			if until := l.predecessor(table.Current(), fake.Now()).CallsUntil; until < renewsUntil {
				t.Errorf("calls are counted for another %s, the first holder sends them for %s", until-fake.Now(), renewsUntil-fake.Now())
			}
		})
	}
}

// TestTwoTakeovers guards against a range that is given on after two changes of the lease holder
// within a second, while the first holder, which is cut off from the log, still renews its lease.
func TestTwoTakeovers(t *testing.T) {
	for cutAfter := time.Duration(0); cutAfter < RenewInterval; cutAfter += 100 * time.Millisecond {
		m := newScriptedModel(t)
		m.runFor(cutAfter)
		m.cutHolder()
		m.runFor(ClaimAfter - modelStep)
		m.changeHolder()
		m.holder.cutAt, m.holder.renewedAt = m.now, 0                  // killed before its first call
		m.replaceHolder(Predecessor{CallsUntil: m.now + grantTimeout}) // a process at its address
		m.holder.unreachable, m.servers[0].usable = m.servers[0], false
		m.runFor(8 * time.Second)
	}
}

// TestNewServiceAfterRestore guards against keys that are assigned anew in a restored log which
// lacks their ranges, while a lease by a call of the last holder may still run.
func TestNewServiceAfterRestore(t *testing.T) {
	const last = AssignmentLeaseDuration + grantTimeout // of the last call's arrival
	c := NewCore("vm", &keyrange.Assignment{}, 1, 0, Predecessor{Resigned: true})
	in := Input{Weight: noWeight, Servers: map[string][]Server{"s": {{ID: "a", Address: "a", Usable: true, Capacity: 1}}}}
	for now := time.Duration(0); now < last+RangeLeaseDuration+RangeLeaseDuration/50; now += 50 * time.Millisecond {
		for _, call := range c.Step(now, in) {
			t.Fatalf("range %s is granted after %s", call.Grant.Range, now)
		}
		c.SetAccepted(c.Version())
	}
}

// grantFunc is a Granter that passes on grants.
type grantFunc func(Grant) error

func (f grantFunc) Grant(_ context.Context, _ Target, g Grant) error { return f(g) }

func (grantFunc) Release(context.Context, Target, Grant) (string, error) { return "", nil }

// TestCallAfterAbandonment guards against a call of a VM that gave up the assignment lease, sent
// after the time from which its successor counts it as impossible, because the VM was suspended
// beside the decision to make it: timers stop then, only the limit of the call does not.
func TestCallAfterAbandonment(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{Time: time.Minute}
	sent := make(chan Grant, 1)
	log := &memoryLog{}
	l := NewLessor(LessorOptions{
		Log: log, Topic: "lease", Clock: fake, Table: NewTable(zap.NewNop()), Instance: "first", Address: "first", Logger: zap.NewNop(),
		Granter: grantFunc(func(g Grant) error { sent <- g; return nil }), OnLeaseChange: func(bool) {},
	})
	l.results = make(chan callResult, 1)
	l.lease = &leaseState{core: NewCore("first", nil, 0, fake.Now(), Predecessor{Resigned: true}), renewedAt: fake.Now()}
	fake.Time += 100 * time.Millisecond
	l.sendCall(t.Context(), Call{Kind: CallGrant, Grant: Grant{Renewal: true}})
	l.abandon(t.Context())
	successor := NewTable(zap.NewNop())
	batch, err := log.Newest(t.Context(), "lease")
	is.NoErr(err)
	successor.apply(batch, fake.Now(), fake.Now())
	second := NewLessor(LessorOptions{Clock: fake, Table: successor, Instance: "second", Address: "second", Logger: zap.NewNop()})
	until := second.predecessor(successor.Current(), fake.Now()).CallsUntil
	if sendBy := (<-sent).SendBy; sendBy > until {
		t.Errorf("the call may be sent for %s, its successor counts %s", sendBy-fake.Now(), until-fake.Now())
	}
}

// TestNewGrantAfterAbandonment guards against a process with a lower token than the one before it at
// the same address: a VM gave up the assignment lease with a grant in flight that was no renewal, its
// successor granted the range under a higher token, and the process that got it was replaced before
// the grant was sent.
func TestNewGrantAfterAbandonment(t *testing.T) {
	is := is.New(t)
	fake, log := &clock.Fake{Time: time.Minute}, &memoryLog{}
	answer := make(chan struct{})
	l := NewLessor(LessorOptions{
		Log: log, Topic: "lease", Clock: fake, Table: NewTable(zap.NewNop()), Instance: "first", Address: "first", Logger: zap.NewNop(),
		Granter: grantFunc(func(Grant) error { <-answer; return ErrNotSent }), OnLeaseChange: func(bool) {},
	})
	l.results = make(chan callResult, 1)
	core := NewCore("first", nil, 0, fake.Now(), Predecessor{Resigned: true})
	in := Input{Weight: noWeight, Servers: map[string][]Server{"s": {{ID: "b", Address: "a", Started: 1, Usable: true, Capacity: 1}}}}
	core.Step(fake.Now(), in)
	fake.Time += newServiceDelay
	core.Step(fake.Now(), in)
	core.SetAccepted(core.Version())
	l.lease = &leaseState{core: core, renewedAt: fake.Now()}
	for _, call := range core.Step(fake.Now(), in) {
		l.sendCall(t.Context(), call)
	}
	l.abandon(t.Context())
	if log.size() > 0 {
		t.Fatal("the lease is given up while a new grant may still be sent")
	}
	close(answer)
	l.finishCall(<-l.results)
	l.abandon(t.Context())
	is.Equal(log.size(), 1)
}

// contextGranter is a Granter that passes on the contexts of its calls.
type contextGranter func(context.Context)

func (f contextGranter) Grant(ctx context.Context, _ Target, _ Grant) error {
	f(ctx)
	return nil
}

func (f contextGranter) Release(ctx context.Context, _ Target, _ Grant) (string, error) {
	f(ctx)
	return "", nil
}

// TestCallThatStartsLate guards against a call that waits for the processor after the decision to make
// it, and is given up later than a successor expects by the same time.
func TestCallThatStartsLate(t *testing.T) {
	for kind, timeout := range map[CallKind]time.Duration{CallGrant: grantTimeout, CallRelease: releaseTimeout} {
		var waiting func()
		var limit time.Time
		l := NewLessor(LessorOptions{
			Clock: &clock.Fake{Time: time.Minute}, Logger: zap.NewNop(),
			Granter: contextGranter(func(ctx context.Context) { limit, _ = ctx.Deadline() }),
		})
		l.results, l.lease = make(chan callResult, 1), &leaseState{}
		l.background = func(task func()) { waiting = task }
		l.sendCall(t.Context(), Call{Kind: kind})
		decidedBy := time.Now()
		time.Sleep(20 * time.Millisecond)
		waiting()
		if left := limit.Sub(decidedBy); left > timeout {
			t.Errorf("call %d is given up %s after the decision, %s are allowed", kind, left, timeout)
		}
	}
}

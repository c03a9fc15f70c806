package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// adversary runs keepers and holders and delays, repeats, drops and reorders their
// messages at random. The rate is so low that each token lent twice exceeds the limit.
type adversary struct {
	rng          *rand.Rand
	now          time.Time
	limit        Limit
	audit        *Audit
	holders      map[string]*Holder
	current      map[string]*Keeper
	predecessors map[string]*Keeper
	term         uint64
	inFlight     []Envelope
	granted      int
	violations   int
}

var adversaryVMs = map[string][]string{"a": {"a0", "a1", "a2"}, "b": {"b0", "b1"}}

func newAdversary(seed uint64) *adversary {
	limit := Limit{Rate: 2, Burst: 16}
	a := &adversary{
		rng: rand.New(rand.NewPCG(seed, 2)), now: simStart, limit: limit, audit: NewAudit(limit, simStart),
		holders: map[string]*Holder{}, current: map[string]*Keeper{}, predecessors: map[string]*Keeper{},
	}
	for domain, vms := range adversaryVMs {
		for _, vm := range vms {
			a.holders[vm] = NewHolder(vm, domain, 1, Policy{ReturnIdle: true})
		}
	}
	a.replaceKeeper("a")
	a.replaceKeeper("b")
	return a
}

// replaceKeeper starts a successor of the domain's keeper, which keeps running.
func (a *adversary) replaceKeeper(domain string) {
	a.term++
	other := map[string]string{"a": "b", "b": "a"}[domain]
	a.predecessors[domain] = a.current[domain]
	a.current[domain] = NewKeeper(KeeperConfig{
		Workspace: "w", Domain: domain, Term: a.term, Instance: a.term,
		Limit: Split(a.limit, "w", domain, []string{"a", "b"}), VMs: adversaryVMs[domain],
		Domains: []string{other}, LeaseUntil: a.now.Add(simLeaseDuration), Policy: DefaultPolicy,
	}, a.now)
}

func (a *adversary) pickOne(list ...string) string { return list[a.rng.IntN(len(list))] }

func (a *adversary) randomVM() string { return a.pickOne("a0", "a1", "a2", "b0", "b1") }

// advance moves the time forward by d and renews the leases of all keepers but that of
// the domain expiring.
func (a *adversary) advance(d time.Duration, expiring string) {
	a.now = a.now.Add(d)
	for domain, k := range a.current {
		if domain != expiring {
			k.SetLease(a.now.Add(simLeaseDuration))
		}
	}
}

// randomStep makes requests, polls, delivers a message, lets time pass or replaces a
// keeper.
func (a *adversary) randomStep() {
	switch n := a.rng.IntN(1000); {
	case n < 200:
		a.spendAll(a.randomVM())
	case n < 400:
		out, _ := a.holders[a.randomVM()].Poll(a.now)
		a.inFlight = append(a.inFlight, out...)
	case n < 500:
		a.inFlight = append(a.inFlight, a.current[a.pickOne("a", "b")].Poll(a.now)...)
	case n < 970:
		a.deliver()
	case n < 998:
		spans := []time.Duration{time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, 600 * time.Millisecond, 1960 * time.Millisecond}
		a.advance(spans[a.rng.IntN(len(spans))], "")
	default:
		domain := a.pickOne("a", "b")
		a.advance(simLeaseDuration+ClockMargin, domain)
		a.replaceKeeper(domain)
	}
}

// spendAll makes more requests than the VM has tokens, so that it asks for more.
func (a *adversary) spendAll(vm string) {
	for range 12 {
		if a.holders[vm].Take("w", a.now).Outcome == Granted {
			a.granted++
			if !a.audit.Spend(a.now) {
				a.violations++
			}
		}
	}
}

// deliver delivers one message, usually a recent one. One message in four stays in
// flight and may be delivered again. When more than 60 are in flight, the oldest 20
// are lost.
func (a *adversary) deliver() {
	if len(a.inFlight) == 0 {
		return
	}
	last := len(a.inFlight) - 1
	i := last - min(last, int(a.rng.ExpFloat64()*3))
	e := a.inFlight[i]
	if a.rng.IntN(4) != 0 {
		a.inFlight = append(a.inFlight[:i], a.inFlight[i+1:]...)
	}
	if len(a.inFlight) > 60 {
		a.inFlight = a.inFlight[20:]
	}
	a.handle(e)
}

// handle passes an envelope to its holder or keeper. One in three for a keeper goes to
// the predecessor instead.
func (a *adversary) handle(e Envelope) {
	if e.ToVM != "" {
		if e.Reply != nil {
			a.holders[e.ToVM].HandleReply(*e.Reply, a.now)
		} else {
			a.holders[e.ToVM].HandleAsk(*e.Ask, a.now)
		}
		return
	}
	k := a.current[e.ToDomain]
	if predecessor := a.predecessors[e.ToDomain]; predecessor != nil && a.rng.IntN(3) == 0 {
		k = predecessor
	}
	switch {
	case e.Sync != nil:
		a.inFlight = append(a.inFlight, k.HandleSync(*e.Sync, a.now)...)
	case e.Reply != nil:
		a.inFlight = append(a.inFlight, k.HandleReply(*e.Reply, a.now)...)
	default:
		a.inFlight = append(a.inFlight, k.HandleAsk(*e.Ask, a.now)...)
	}
}

// Guards against spending above the limit when messages are delayed, repeated,
// reordered and lost while keepers are replaced.
func TestBoundUnderAdversary(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			a := newAdversary(seed)
			for range 20_000 {
				a.randomStep()
			}
			is.Equal(a.violations, 0)
			t.Logf("granted %d in %v", a.granted, a.now.Sub(simStart))
			is.True(a.granted > 200)
		})
	}
}

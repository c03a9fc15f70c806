package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// adversary runs keepers and holders with messages that it delays, repeats, drops
// and reorders at will. At a low rate each token lent twice breaks the bound.
type adversary struct {
	rng     *rand.Rand
	now     time.Time
	limit   Limit
	audit   *Audit
	holders map[string]*Holder
	current map[string]*Keeper
	former  map[string]*Keeper
	term    uint64
	pool    []Envelope
	granted int
	broken  int
}

var adversaryVMs = map[string][]string{"a": {"a0", "a1", "a2"}, "b": {"b0", "b1"}}

func newAdversary(seed uint64) *adversary {
	limit := Limit{Rate: 2, Burst: 16}
	a := &adversary{
		rng: rand.New(rand.NewPCG(seed, 2)), now: epoch, limit: limit, audit: NewAudit(limit, epoch),
		holders: map[string]*Holder{}, current: map[string]*Keeper{}, former: map[string]*Keeper{},
	}
	for domain, vms := range adversaryVMs {
		for _, vm := range vms {
			a.holders[vm] = NewHolder(vm, domain, 1, Policy{ReturnIdle: true})
		}
	}
	a.takeover("a")
	a.takeover("b")
	return a
}

func (a *adversary) takeover(domain string) {
	a.term++
	other := map[string]string{"a": "b", "b": "a"}[domain]
	a.former[domain] = a.current[domain]
	a.current[domain] = NewKeeper(KeeperConfig{
		Workspace: "w", Domain: domain, Term: a.term, Instance: a.term,
		Limit: Split(a.limit, "w", domain, []string{"a", "b"}), VMs: adversaryVMs[domain],
		Domains: []string{other}, LeaseUntil: a.now.Add(simLease), Policy: DefaultPolicy,
	}, a.now)
}

func (a *adversary) pick(list ...string) string { return list[a.rng.IntN(len(list))] }

func (a *adversary) vm() string { return a.pick("a0", "a1", "a2", "b0", "b1") }

// advance renews the leases as time passes, unless a domain's lease is to end.
func (a *adversary) advance(d time.Duration, lapse string) {
	a.now = a.now.Add(d)
	for domain, k := range a.current {
		if domain != lapse {
			k.SetLease(a.now.Add(simLease))
		}
	}
}

func (a *adversary) step() {
	switch n := a.rng.IntN(1000); {
	case n < 200:
		a.flood(a.vm())
	case n < 400:
		out, _ := a.holders[a.vm()].Poll(a.now)
		a.pool = append(a.pool, out...)
	case n < 500:
		a.pool = append(a.pool, a.current[a.pick("a", "b")].Poll(a.now)...)
	case n < 970:
		a.deliver()
	case n < 998:
		spans := []time.Duration{time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, 600 * time.Millisecond, 1960 * time.Millisecond}
		a.advance(spans[a.rng.IntN(len(spans))], "")
	default:
		domain := a.pick("a", "b")
		a.advance(simLease+ClockMargin, domain)
		a.takeover(domain)
	}
}

// flood spends all that the VM has and leaves it asking for more.
func (a *adversary) flood(vm string) {
	for range 12 {
		if a.holders[vm].Take("w", a.now).Outcome == Granted {
			a.granted++
			if !a.audit.Spend(a.now) {
				a.broken++
			}
		}
	}
}

// deliver hands over one message, mostly a recent one, and may keep it for a
// repetition.
func (a *adversary) deliver() {
	if len(a.pool) == 0 {
		return
	}
	last := len(a.pool) - 1
	i := last - min(last, int(a.rng.ExpFloat64()*3))
	e := a.pool[i]
	if a.rng.IntN(4) != 0 {
		a.pool = append(a.pool[:i], a.pool[i+1:]...)
	}
	if len(a.pool) > 60 {
		a.pool = a.pool[20:]
	}
	a.hand(e)
}

func (a *adversary) hand(e Envelope) {
	if e.ToVM != "" {
		if e.Reply != nil {
			a.holders[e.ToVM].HandleReply(*e.Reply, a.now)
		} else {
			a.holders[e.ToVM].HandleAsk(*e.Ask, a.now)
		}
		return
	}
	k := a.current[e.ToDomain]
	if old := a.former[e.ToDomain]; old != nil && a.rng.IntN(3) == 0 {
		k = old
	}
	switch {
	case e.Sync != nil:
		a.pool = append(a.pool, k.HandleSync(*e.Sync, a.now)...)
	case e.Reply != nil:
		a.pool = append(a.pool, k.HandleReply(*e.Reply, a.now)...)
	default:
		a.pool = append(a.pool, k.HandleAsk(*e.Ask, a.now)...)
	}
}

// Guards against spending above the bound when messages are delayed, repeated,
// reordered and lost while keepers are replaced.
func TestBoundUnderAdversary(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			a := newAdversary(seed)
			for range 20_000 {
				a.step()
			}
			is.Equal(a.broken, 0)
			t.Logf("granted %d in %v", a.granted, a.now.Sub(epoch))
			is.True(a.granted > 200)
		})
	}
}

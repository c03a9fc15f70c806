package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

func newTestBudget(t *testing.T, share, floor float64) *Budget {
	b, err := NewBudget(share, floor)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against "not run" without proof: a request that may have run would be run
// twice.
func TestClassify(t *testing.T) {
	cases := []struct {
		name    string
		attempt Attempt
		want    Outcome
	}{
		{"connection refused", Attempt{}, NotRun},
		{"no response", Attempt{Written: true}, Unknown},
		{"complete", Attempt{Written: true, Source: FromBackend, Complete: true}, Ran},
		{"truncated", Attempt{Written: true, Source: FromBackend}, Unknown},
		{"refused by the backend server", Attempt{Written: true, Source: FromBackend, OutcomeHeader: "not-run"}, NotRun},
		{"other backend outcome", Attempt{Written: true, Source: FromBackend, OutcomeHeader: "Not-Run?"}, Unknown},
		{"refused by a gate", Attempt{Written: true, Source: FromVM, OutcomeHeader: "not-run", Complete: true}, NotRun},
		{"unknown to a gate", Attempt{Written: true, Source: FromVM, OutcomeHeader: "unknown", Complete: true}, Unknown},
		{"a gate without statement", Attempt{Written: true, Source: FromVM, Complete: true}, Unknown},
		{"early response", Attempt{Source: FromVM}, Unknown},
		{"header without a source", Attempt{Written: true, OutcomeHeader: "not-run"}, Unknown},
	}
	for _, c := range cases {
		if got := Classify(c.attempt); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// Guards against a second run of a request that is not idempotent, a second
// response on one connection, and attempts that can't end in time.
func TestDecide(t *testing.T) {
	base := Request{
		Attempts: 1, Outcome: NotRun, BodyAvailable: true,
		Deadline: start.Add(time.Second), Expected: 10 * time.Millisecond,
	}
	cases := []struct {
		name   string
		change func(*Request)
		want   Verdict
	}{
		{"not run", func(*Request) {}, Again},
		{"ran", func(r *Request) { r.Outcome = Ran; r.Idempotent = true }, Final},
		{"unknown", func(r *Request) { r.Outcome = Unknown }, NotSafe},
		{"unknown, idempotent", func(r *Request) { r.Outcome = Unknown; r.Idempotent = true }, Again},
		{"response started", func(r *Request) { r.BytesToCaller = 1; r.Idempotent = true }, ResponseStarted},
		{"body gone", func(r *Request) { r.BodyAvailable = false; r.Idempotent = true }, BodyGone},
		{"attempts", func(r *Request) { r.Attempts = MaxAttempts }, AttemptsUsed},
		{"deadline", func(r *Request) { r.Deadline = start.Add(9 * time.Millisecond) }, TooLate},
		{"retry after", func(r *Request) { r.RetryAfter = time.Second }, TooLate},
		{"retry after, other server", func(r *Request) { r.RetryAfter = time.Second; r.OtherServer = true }, Again},
	}
	for _, c := range cases {
		d := NewDecider(newTestBudget(t, RetryShare, RetryFloor), NewBackoff(rand.New(rand.NewPCG(1, 1))))
		r := base
		c.change(&r)
		if got := d.Decide(start, r).Verdict; got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
	d := NewDecider(newTestBudget(t, RetryShare, 0), NewBackoff(rand.New(rand.NewPCG(1, 1))))
	if got := d.Decide(start, base).Verdict; got != OverBudget {
		t.Errorf("empty budget: %s", got)
	}
}

// Guards against retries that multiply the load of an outage, and against a VM with
// few requests that can't retry at all.
func TestBudgetShareAndFloor(t *testing.T) {
	is := is.New(t)
	b := newTestBudget(t, RetryShare, RetryFloor)
	taken := 0
	for i := range 60_000 { // 1,000 requests/s, each of which wants a retry
		now := start.Add(time.Duration(i) * time.Millisecond)
		b.Request(now)
		if b.Take(now) {
			taken++
		}
	}
	is.True(taken <= 6_000+60)
	is.True(taken >= 5_900)

	quiet := start.Add(time.Hour)
	taken = 0
	for i := range 100 {
		if b.Take(quiet.Add(time.Duration(i) * 100 * time.Millisecond)) {
			taken++
		}
	}
	is.Equal(taken, 10) // 1/s over 10 s
}

// Guards against waits that are not random, not bounded, or shorter than asked for.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	b := NewBackoff(rand.New(rand.NewPCG(1, 1)))
	seen := map[time.Duration]bool{}
	for range 100 {
		wait := b.Wait(20, time.Second)
		is.True(wait >= time.Second && wait <= time.Second+backoffMax)
		seen[wait] = true
		is.True(b.Wait(1, 0) <= backoffBase)
	}
	is.True(len(seen) > 90)
}

// Guards against hedges of requests that must run once, before the p95 is known,
// and beyond 5%.
func TestHedger(t *testing.T) {
	is := is.New(t)
	budget := newTestBudget(t, HedgeShare, HedgeFloor)
	h := NewHedger(budget)
	r := Request{Idempotent: true, BodyAvailable: true, OtherServer: true, Deadline: start.Add(time.Hour)}
	_, ok := h.Delay(start, r)
	is.True(!ok)
	for i := range 1000 {
		budget.Request(start)
		h.Observe(start, time.Duration(i)*time.Millisecond)
	}
	now := start.Add(hedgeWindow)
	delay, ok := h.Delay(now, r)
	is.True(ok)
	is.True(delay > 940*time.Millisecond && delay < 960*time.Millisecond)
	taken := 0
	for range 1000 {
		if h.Take(now) {
			taken++
		}
	}
	is.Equal(taken, 50)
	for _, change := range []func(*Request){
		func(r *Request) { r.Idempotent = false },
		func(r *Request) { r.BodyAvailable = false },
		func(r *Request) { r.OtherServer = false },
		func(r *Request) { r.Deadline = now },
	} {
		changed := r
		change(&changed)
		_, ok := h.Delay(now, changed)
		is.True(!ok)
	}
}

package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

// newTestBudget returns a Budget, or fails the test.
func newTestBudget(t *testing.T, share, floor float64) *Budget {
	b, err := NewBudget(share, floor)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// An attempt must count as "not run" only with proof. Otherwise a request that has run
// would run a second time.
func TestClassify(t *testing.T) {
	cases := []struct {
		name    string
		attempt Attempt
		want    Outcome
	}{
		{"connection refused", Attempt{}, NotRun},
		{"no response", Attempt{Written: true}, Unknown},
		{"complete response", Attempt{Written: true, Source: FromBackend, Complete: true}, Ran},
		{"truncated response", Attempt{Written: true, Source: FromBackend}, Unknown},
		{"rejected by the backend server", Attempt{Written: true, Source: FromBackend, OutcomeHeader: "not-run"}, NotRun},
		{"other backend outcome", Attempt{Written: true, Source: FromBackend, OutcomeHeader: "Not-Run?"}, Unknown},
		{"rejected by a gate", Attempt{Written: true, Source: FromVM, OutcomeHeader: "not-run", Complete: true}, NotRun},
		{"unknown to a gate", Attempt{Written: true, Source: FromVM, OutcomeHeader: "unknown", Complete: true}, Unknown},
		{"gate without an outcome header", Attempt{Written: true, Source: FromVM, Complete: true}, Unknown},
		{"response before the request was written", Attempt{Source: FromVM}, Unknown},
		{"header without a source", Attempt{Written: true, OutcomeHeader: "not-run"}, Unknown},
	}
	for _, c := range cases {
		if got := Classify(c.attempt); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// A request that is not idempotent must not run twice, a caller must not receive parts
// of two responses to one request, and no attempt may start that can't end by the
// deadline.
func TestDecide(t *testing.T) {
	base := Request{
		Attempts: 1, Outcome: NotRun, BodyAvailable: true,
		Deadline: start.Add(time.Second), UsualLatency: 10 * time.Millisecond,
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
		{"body unavailable", func(r *Request) { r.BodyAvailable = false; r.Idempotent = true }, BodyUnavailable},
		{"attempts used up", func(r *Request) { r.Attempts = MaxAttempts }, AttemptsUsed},
		{"too late for the deadline", func(r *Request) { r.Deadline = start.Add(9 * time.Millisecond) }, TooLate},
		{"retry after the deadline", func(r *Request) { r.RetryAfter = time.Second }, TooLate},
		{"retry after the deadline, other server", func(r *Request) { r.RetryAfter = time.Second; r.OtherServer = true }, Again},
	}
	for _, c := range cases {
		d := NewPolicy(newTestBudget(t, RetryShare, RetryFloor), NewBackoff(rand.New(rand.NewPCG(1, 1))))
		r := base
		c.change(&r)
		if got := d.Decide(start, r).Verdict; got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
	d := NewPolicy(newTestBudget(t, RetryShare, 0), NewBackoff(rand.New(rand.NewPCG(1, 1))))
	if got := d.Decide(start, base).Verdict; got != OverBudget {
		t.Errorf("empty budget: %s, want over the retry budget", got)
	}
}

// Retries must not multiply the load of an outage, and a VM with few requests must
// still be able to retry.
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

// Delays must be random, bounded, and no shorter than the rejection asked for.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	b := NewBackoff(rand.New(rand.NewPCG(1, 1)))
	seen := map[time.Duration]bool{}
	for range 100 {
		wait := b.Delay(20, time.Second)
		is.True(wait >= time.Second && wait <= time.Second+backoffMax)
		seen[wait] = true
		is.True(b.Delay(1, 0) <= backoffBase)
	}
	is.True(len(seen) > 90)
}

// Requests that are not idempotent must not be hedged, nor any request before the p95
// is known. Hedges must stay within 5% of the requests.
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

package decisionlog

import (
	"hash/fnv"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/forward"
)

const (
	// linesPerSecond bounds the lines of one kind: a refusal reason, a failure, a
	// retry, a slow answer.
	linesPerSecond = 8
	// summaryInterval is the time between summaries of suppressed lines.
	summaryInterval = 5 * time.Second
	// sampleOneIn is the share of plain successes that is written, by request ID, so
	// that every VM writes the same ones.
	sampleOneIn = 64
	// slowAfter is the latency above which an answer is written as slow.
	slowAfter = time.Second
)

// Kinds of lines that are no refusal reason.
const (
	kindAnswered = "answered"
	kindSlow     = "slow"
	kindRetried  = "retried"
	kindFailed   = "backend-failed"
)

// Requests writes one line for each request of interest. It implements
// forward.Observer.
type Requests struct {
	log    *zap.Logger
	clock  clock.Clock
	counts func(e *forward.Event, outcome string)

	mu         sync.Mutex
	second     time.Duration
	written    map[string]int
	suppressed map[string]int
	summaryAt  time.Duration
}

// NewRequests returns an observer that also hands each event to counts.
func NewRequests(log *zap.Logger, c clock.Clock, counts func(e *forward.Event, outcome string)) *Requests {
	return &Requests{log: log, clock: c, counts: counts, written: make(map[string]int), suppressed: make(map[string]int)}
}

// Request implements forward.Observer.
func (r *Requests) Request(e *forward.Event) {
	kind := kindOf(e)
	r.counts(e, outcomeOf(e))
	if kind == kindAnswered && !sampled(e.ID) || !r.allow(kind) {
		return
	}
	r.log.Info("request", fields(e, kind)...)
}

func sampled(id string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash never fails
	return h.Sum32()%sampleOneIn == 0
}

func kindOf(e *forward.Event) string {
	switch {
	case e.Reason != "":
		return e.Reason
	case e.Status >= 500:
		return kindFailed
	case len(e.Attempts) > 1:
		return kindRetried
	case e.Took > slowAfter:
		return kindSlow
	}
	return kindAnswered
}

// Outcomes of a request, as in the metrics.
const (
	outcomeRan     = "ran"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

func outcomeOf(e *forward.Event) string {
	switch {
	case e.Reason == "":
		return outcomeRan
	case e.Status == 502 || e.Status == 504:
		return outcomeUnknown
	}
	return outcomeNotRun
}

// allow counts a line and reports whether it may be written.
func (r *Requests) allow(kind string) bool {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if second := now.Truncate(time.Second); second != r.second {
		r.second = second
		clear(r.written)
		r.summarize(now)
	}
	r.written[kind]++
	if r.written[kind] > linesPerSecond {
		r.suppressed[kind]++
		return false
	}
	return true
}

// summarize writes the counts of suppressed lines. The caller holds the lock.
func (r *Requests) summarize(now time.Duration) {
	if len(r.suppressed) == 0 || now < r.summaryAt {
		return
	}
	r.summaryAt = now + summaryInterval
	list := make([]zap.Field, 0, len(r.suppressed))
	for kind, count := range r.suppressed {
		list = append(list, zap.Int(kind, count))
	}
	clear(r.suppressed)
	r.log.Info("request lines suppressed", list...)
}

func fields(e *forward.Event, kind string) []zap.Field {
	list := []zap.Field{
		zap.String("request", e.ID), zap.String("kind", kind), zap.Int("status", e.Status),
		zap.String("outcome", outcomeOf(e)), zap.Duration("took_ms", e.Took),
		zap.String("route", e.Route), zap.String("service", e.Service), zap.String("workspace", e.Workspace),
		zap.Int64("config_version", e.ConfigVersion), zap.Duration("config_age_ms", e.ConfigAge),
	}
	if e.Key != forward.NoKey {
		list = append(list, zap.Int("key", e.Key), zap.Duration("owner_wait_ms", e.Waited), zap.String("owner", e.Owner),
			zap.Int64("fence", e.OwnerFence), zap.Bool("moving", e.OwnerMoving))
	}
	if e.Rate > 0 {
		list = append(list, zap.Float64("rate_part", e.Rate), zap.Float64("burst_part", e.Burst), zap.Duration("rate_wait_ms", e.RateWait))
	}
	if len(e.Attempts) > 0 {
		list = append(list, zap.Array("attempts", attempts(e.Attempts)))
	}
	return list
}

type attempts []forward.AttemptEvent

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (a attempts) MarshalLogArray(encoder zapcore.ArrayEncoder) error {
	for i := range a {
		if err := encoder.AppendObject(attempt(a[i])); err != nil {
			return err
		}
	}
	return nil
}

type attempt forward.AttemptEvent

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (a attempt) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("backend", a.Backend)
	encoder.AddInt("status", a.Result)
	encoder.AddDuration("at_ms", a.At)
	encoder.AddDuration("took_ms", a.Took)
	encoder.AddBool("reused", a.Reused)
	encoder.AddBool("hedge", a.Hedge)
	if a.Detail != "" {
		encoder.AddString("detail", a.Detail)
	}
	encoder.AddFloat64("busy", a.Busy)
	encoder.AddDuration("report_age_ms", a.ReportAge)
	return nil
}

package decisionlog

import (
	"hash/fnv"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/forward"
	"fireflyfield/internal/linelimit"
)

const (
	// linesPerSecond bounds the lines of one kind: a refusal reason, a failure, a
	// retry, a slow answer.
	linesPerSecond = 8
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
	lines  *linelimit.Limiter
	counts func(e *forward.Event, outcome string)
}

// NewRequests returns an observer that also hands each event to counts.
func NewRequests(log *zap.Logger, c clock.Clock, counts func(e *forward.Event, outcome string)) *Requests {
	return &Requests{log: log, lines: linelimit.New(log, c.Now, linesPerSecond, "request lines suppressed"), counts: counts}
}

// Request implements forward.Observer.
func (r *Requests) Request(e *forward.Event) {
	kind := kindOf(e)
	r.counts(e, outcomeOf(e))
	if kind == kindAnswered && !sampled(e.ID) || !r.lines.Allow(kind) {
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

func fields(e *forward.Event, kind string) []zap.Field {
	list := []zap.Field{
		zap.String("request", e.ID), zap.String("kind", kind), zap.Int("status", e.Status),
		zap.String("outcome", outcomeOf(e)), zap.Duration("took_ms", e.Took),
		zap.String("route", e.Route), zap.String("service", e.Service), zap.String("workspace", e.Workspace),
		zap.Int64("config_version", e.ConfigVersion), zap.Duration("config_age_ms", e.ConfigAge),
	}
	if e.Key != forward.NoKey {
		list = append(list, zap.Int("key", e.Key), zap.Duration("owner_wait_ms", e.OwnerWait), zap.String("owner", e.Owner),
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
	encoder.AddDuration("at_ms", a.SentAfter)
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

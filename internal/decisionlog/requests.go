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
	// linesPerSecond is the largest rate of lines of one kind, as kindOf defines them.
	linesPerSecond = 8
	// sampleOneIn is the sampling rate of plain successes: one in 64 is written. The
	// request ID decides, so that every VM writes lines of the same requests.
	sampleOneIn = 64
	// slowThreshold is the latency above which a response counts as slow.
	slowThreshold = time.Second
)

// Kinds of lines for requests that got the response of a backend server.
const (
	kindAnswered = "answered"
	kindSlow     = "slow"
	kindRetried  = "retried"
	kindFailed   = "backend-failed"
)

// Requests writes one line for each request that was rejected, failed, retried or slow,
// and for a sample of the others, up to linesPerSecond of each kind. It implements
// forward.Observer.
type Requests struct {
	log       *zap.Logger
	lines     *linelimit.Limiter
	onRequest func(e *forward.Event, outcome string)
}

// NewRequests returns an observer that writes to log. It calls onRequest for every
// request, whether or not the request gets a line.
func NewRequests(log *zap.Logger, c clock.Clock, onRequest func(e *forward.Event, outcome string)) *Requests {
	return &Requests{log: log, lines: linelimit.New(log, c.Now, linesPerSecond, "request lines suppressed"), onRequest: onRequest}
}

// Request implements forward.Observer.
func (r *Requests) Request(e *forward.Event) {
	kind := kindOf(e)
	r.onRequest(e, outcomeOf(e))
	if kind == kindAnswered && !sampled(e.ID) || !r.lines.Allow(kind) {
		return
	}
	r.log.Info("request", fields(e, kind)...)
}

// sampled reports whether a plain success with this request ID is written.
func sampled(id string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // Write of a hash never fails
	return h.Sum32()%sampleOneIn == 0
}

// kindOf returns the kind of the line of a request: the reason why this VM answered itself,
// or one of the kinds above.
func kindOf(e *forward.Event) string {
	switch {
	case e.Reason != "":
		return e.Reason
	case e.Status >= 500:
		return kindFailed
	case len(e.Attempts) > 1:
		return kindRetried
	case e.Took > slowThreshold:
		return kindSlow
	}
	return kindAnswered
}

// Outcomes of a request, as in the log field and the metric label.
const (
	outcomeRan     = "ran"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// outcomeOf returns whether a request ran, by its reason and status. The VM itself answers
// with 502 or 504 if an attempt failed without proof that the request did not run.
func outcomeOf(e *forward.Event) string {
	switch {
	case e.Reason == "":
		return outcomeRan
	case e.Status == 502 || e.Status == 504:
		return outcomeUnknown
	}
	return outcomeNotRun
}

// fields returns the fields of the line of a request.
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
	if e.Detoured {
		list = append(list, zap.Bool("detoured", true))
	}
	if e.Fingerprint.Exact != 0 {
		list = append(list, zap.Stringer("fingerprint", e.Fingerprint))
	}
	if len(e.Attempts) > 0 {
		list = append(list, zap.Array("attempts", attemptArray(e.Attempts)))
	}
	return list
}

type attemptArray []forward.AttemptEvent

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (a attemptArray) MarshalLogArray(encoder zapcore.ArrayEncoder) error {
	for i := range a {
		if err := encoder.AppendObject(attemptObject(a[i])); err != nil {
			return err
		}
	}
	return nil
}

type attemptObject forward.AttemptEvent

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (a attemptObject) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("backend", a.Backend)
	encoder.AddInt("status", a.Status)
	encoder.AddDuration("at_ms", a.SentAfter)
	encoder.AddDuration("took_ms", a.Took)
	encoder.AddBool("reused", a.Reused)
	encoder.AddBool("hedge", a.Hedge)
	if a.Detour {
		encoder.AddBool("detour", true)
	}
	if a.Detail != "" {
		encoder.AddString("detail", a.Detail)
	}
	encoder.AddFloat64("busy", a.InFlight)
	encoder.AddDuration("report_age_ms", a.ReportAge)
	return nil
}

package keylease

import (
	"context"
	"slices"
	"time"

	"fireflyfield/internal/sharedlog"
)

const (
	// logTimeout is when a VM gives up a call to the shared log, as platform/log.go does.
	logTimeout = 1200 * time.Millisecond
	// maxAppendDelay bounds how long an append without an answer may take to be executed.
	maxAppendDelay = 4 * time.Second
)

// fleetLog is the shared log of a fleet, with one topic.
type fleetLog struct {
	f       *fleet
	records []sharedlog.Record
	// appendedAt is when each record was appended.
	appendedAt []time.Duration
	era        int64
	// delayed are appends without an answer that are executed later, if their condition holds then.
	delayed []delayedAppend
}

type delayedAppend struct {
	at          time.Duration
	vm          *fleetVM
	records     []sharedlog.Record
	expectedEnd sharedlog.Position
}

func (l *fleetLog) end() sharedlog.Position {
	return sharedlog.Position{Era: l.era, Offset: int64(len(l.records))}
}

// execute appends records if their condition holds. The log does not know the expected era.
func (l *fleetLog) execute(vm *fleetVM, records []sharedlog.Record, expectedEnd sharedlog.Position) error {
	if expectedEnd.Offset != int64(len(l.records)) {
		if expectedEnd.Era < l.era {
			return sharedlog.ErrRestored
		}
		return sharedlog.ErrEndMoved
	}
	for _, r := range records {
		r.Offset = int64(len(l.records))
		l.records = append(l.records, r)
		l.appendedAt = append(l.appendedAt, l.f.now)
		if r.Key != keyHeartbeat {
			l.f.logf("record %d/%d %s of %s", l.era, r.Offset, r.Key, vm.name())
		}
		if r.Key == keyAssignment {
			l.f.noteWriter(vm)
		}
	}
	if expectedEnd.Era < l.era {
		return sharedlog.ErrRestored
	}
	return nil
}

// executeDelayed executes the delayed appends that are due.
func (l *fleetLog) executeDelayed() {
	l.delayed = slices.DeleteFunc(l.delayed, func(d delayedAppend) bool {
		if l.f.now < d.at {
			return false
		}
		_ = l.execute(d.vm, d.records, d.expectedEnd) // nobody gets the answer
		return true
	})
}

// restore takes the log back to an older copy and starts a new era.
func (l *fleetLog) restore(oldest time.Duration) {
	kept, _ := slices.BinarySearch(l.appendedAt, oldest)
	if kept == 0 {
		return
	}
	l.records, l.appendedAt = slices.Clone(l.records[:kept]), l.appendedAt[:kept]
	l.era++
	l.f.logf("the log is restored to %s, era %d, end %d", oldest, l.era, kept)
}

// vmConnection is a VM's connection to the shared log.
type vmConnection struct {
	*fleetLog
	vm *fleetVM
}

// Append implements sharedlog.Log.
func (c vmConnection) Append(_ context.Context, _ string, records []sharedlog.Record, expectedEnd sharedlog.Position) (sharedlog.Position, error) {
	f := c.f
	f.sleep(f.latency())
	switch {
	case c.vm.turnedAway():
		return sharedlog.Position{}, errUnreachable
	case c.vm.unanswered():
		return sharedlog.Position{}, c.appendUnanswered(records, expectedEnd)
	}
	if err := c.execute(c.vm, records, expectedEnd); err != nil {
		f.sleep(f.latency())
		return sharedlog.Position{}, err
	}
	end := c.end()
	f.sleep(f.latency())
	return end, nil
}

// appendUnanswered executes an append at once, later or never, and returns the error of a call
// without an answer.
func (c vmConnection) appendUnanswered(records []sharedlog.Record, expectedEnd sharedlog.Position) error {
	f := c.f
	switch f.random.IntN(3) {
	case 0:
		_ = c.execute(c.vm, records, expectedEnd) // the answer is lost
	case 1:
		at := f.now + f.upTo(maxAppendDelay)
		c.delayed = append(c.delayed, delayedAppend{at, c.vm, slices.Clone(records), expectedEnd})
	}
	f.sleep(logTimeout)
	return errUnreachable
}

// Read implements sharedlog.Log.
func (c vmConnection) Read(_ context.Context, _ string, from sharedlog.Position, wait time.Duration) (sharedlog.Batch, error) {
	f := c.f
	f.sleep(f.latency())
	switch {
	case c.vm.turnedAway():
		return sharedlog.Batch{}, errUnreachable
	case c.vm.unanswered():
		f.sleep(wait + logTimeout)
		return sharedlog.Batch{}, errUnreachable
	}
	for until := f.now + wait; c.era <= from.Era && int64(len(c.records)) <= from.Offset && f.now < until; {
		f.sleep(modelStep)
	}
	if c.era > from.Era {
		return sharedlog.Batch{}, sharedlog.ErrRestored
	}
	end := int64(len(c.records))
	batch := sharedlog.Batch{Era: c.era, Next: end, End: end}
	if from.Offset < end {
		batch.Records = slices.Clone(c.records[from.Offset:])
	}
	f.sleep(f.latency())
	return batch, nil
}

// Newest implements sharedlog.Log.
func (c vmConnection) Newest(ctx context.Context, topic string) (sharedlog.Batch, error) {
	batch, err := c.Read(ctx, topic, sharedlog.Position{Era: c.era}, 0)
	last := make(map[string]int64)
	for _, r := range batch.Records {
		last[r.Key] = r.Offset
	}
	batch.Records = slices.DeleteFunc(batch.Records, func(r sharedlog.Record) bool { return last[r.Key] != r.Offset })
	return batch, err
}

// Package platformtest provides an in-memory shared log for tests. It injects outages,
// lost responses and trimmed records when a test asks for them.
package platformtest

import (
	"context"
	"sync"
	"time"

	"fireflyfield/internal/platform"

	"github.com/go-faster/errors"
)

// Log is an in-memory platform.Log with fault injection. It works inside a
// testing/synctest bubble.
type Log struct {
	mu          sync.Mutex
	streams     map[string]*stream
	down        bool
	loseAnswers bool
	// changed is closed and replaced to wake waiting reads.
	changed chan struct{}
}

type stream struct {
	// firstOffset is the offset of records[0].
	firstOffset uint64
	records     []platform.Record
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{streams: make(map[string]*stream), changed: make(chan struct{})}
}

// SetDown starts or ends an outage, during which every call fails with
// platform.ErrUnavailable.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.notifyReaders()
}

// SetLoseAnswers makes appends take effect and then fail, as if their responses were
// lost.
func (l *Log) SetLoseAnswers(lose bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseAnswers = lose
}

// Trim drops the records with offsets below first.
func (l *Log) Trim(name string, first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.records = s.records[first-s.firstOffset:]
	s.firstOffset = first
}

// Len returns the number of records ever appended to the stream.
func (l *Log) Len(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).nextOffset() - 1
}

// Append implements platform.Log.
func (l *Log) Append(_ context.Context, name string, records ...[]byte) ([]uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errors.Wrap(platform.ErrUnavailable, "append")
	}
	s := l.stream(name)
	var offsets []uint64
	for _, data := range records {
		offset := s.nextOffset()
		s.records = append(s.records, platform.Record{Offset: offset, Data: data})
		offsets = append(offsets, offset)
	}
	l.notifyReaders()
	if l.loseAnswers {
		return nil, errors.Wrap(platform.ErrUnavailable, "response of append lost")
	}
	return offsets, nil
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed, err := l.readOnce(name, from, limit)
		if err != nil || len(batch.Records) > 0 || wait == 0 {
			return batch, err
		}
		select {
		case <-ctx.Done():
			return platform.Batch{}, errors.Wrap(platform.ErrUnavailable, "context of read ended")
		case <-timer.C:
			return batch, nil
		case <-changed:
		}
	}
}

// readOnce reads without waiting. It also returns the channel that is closed at the next
// append or outage.
func (l *Log) readOnce(name string, from uint64, limit int) (platform.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return platform.Batch{}, nil, errors.Wrap(platform.ErrUnavailable, "read")
	}
	s := l.stream(name)
	if from < s.firstOffset {
		return platform.Batch{}, nil, &platform.OffsetTrimmedError{Stream: name, From: from, First: s.firstOffset}
	}
	batch := platform.Batch{FirstRetained: s.firstOffset, Next: min(from, s.nextOffset())}
	if from < s.nextOffset() {
		rest := s.records[from-s.firstOffset:]
		batch.Records = append(batch.Records, rest[:min(limit, len(rest))]...)
		batch.Next = from + uint64(len(batch.Records))
	}
	return batch, l.changed, nil
}

// stream returns the stream of the name, and creates it if it does not exist. The mutex
// must be held.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{firstOffset: 1}
		l.streams[name] = s
	}
	return s
}

// nextOffset returns the offset of the next record to be appended.
func (s *stream) nextOffset() uint64 { return s.firstOffset + uint64(len(s.records)) }

// notifyReaders wakes waiting reads. The mutex must be held.
func (l *Log) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

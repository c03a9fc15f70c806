// Package platformtest provides a log in memory for tests.
package platformtest

import (
	"context"
	"sync"
	"time"

	"fireflyfield/internal/platform"

	"github.com/go-faster/errors"
)

// Log is a platform.Log in memory with fault injection. It works inside a
// testing/synctest bubble.
type Log struct {
	mu          sync.Mutex
	streams     map[string]*stream
	down        bool
	loseAnswers bool
	changed     chan struct{}
}

type stream struct {
	first   uint64
	records []platform.Record
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{streams: make(map[string]*stream), changed: make(chan struct{})}
}

// SetDown makes every call fail with platform.ErrUnavailable.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.wake()
}

// SetLoseAnswers makes appends take effect and then fail.
func (l *Log) SetLoseAnswers(lose bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseAnswers = lose
}

// Trim drops the records below the offset first.
func (l *Log) Trim(name string, first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.records = s.records[first-s.first:]
	s.first = first
}

// Len returns the number of records ever appended to the stream.
func (l *Log) Len(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).next() - 1
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
		offset := s.next()
		s.records = append(s.records, platform.Record{Offset: offset, Data: data})
		offsets = append(offsets, offset)
	}
	l.wake()
	if l.loseAnswers {
		return nil, errors.Wrap(platform.ErrUnavailable, "answer lost")
	}
	return offsets, nil
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, name string, from uint64, max int, wait time.Duration) (platform.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed, err := l.try(name, from, max)
		if err != nil || len(batch.Records) > 0 || wait == 0 {
			return batch, err
		}
		select {
		case <-ctx.Done():
			return platform.Batch{}, errors.Wrap(platform.ErrUnavailable, "read ended")
		case <-timer.C:
			return batch, nil
		case <-changed:
		}
	}
}

func (l *Log) try(name string, from uint64, max int) (platform.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return platform.Batch{}, nil, errors.Wrap(platform.ErrUnavailable, "read")
	}
	s := l.stream(name)
	if from < s.first {
		return platform.Batch{}, nil, &platform.BelowFirstError{Stream: name, From: from, First: s.first}
	}
	batch := platform.Batch{First: s.first, Next: min(from, s.next())}
	if from < s.next() {
		rest := s.records[from-s.first:]
		batch.Records = append(batch.Records, rest[:min(max, len(rest))]...)
		batch.Next = from + uint64(len(batch.Records))
	}
	return batch, l.changed, nil
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: 1}
		l.streams[name] = s
	}
	return s
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

package platform

import (
	"context"
	"sync"
	"time"

	protocol "fireflyfield/internal/platform"
)

// stream is one append-only sequence of records.
type stream struct {
	retain int

	mu sync.Mutex
	// first is the offset of records[0].
	first   uint64
	records [][]byte
	// appended is closed and replaced at each append.
	appended chan struct{}
}

func newStream(retain int) *stream {
	return &stream{retain: retain, first: 1, appended: make(chan struct{})}
}

func (s *stream) append(records [][]byte) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offsets := make([]uint64, 0, len(records))
	for _, record := range records {
		offsets = append(offsets, s.first+uint64(len(s.records)))
		s.records = append(s.records, record)
	}
	if excess := len(s.records) - s.retain; s.retain > 0 && excess > 0 {
		s.records = append([][]byte(nil), s.records[excess:]...)
		s.first += uint64(excess)
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return offsets
}

// read returns records from the offset on; with none there it waits. The second
// result is false when the offset is no longer retained.
func (s *stream) read(ctx context.Context, from uint64, limit int, wait time.Duration) (protocol.ReadReply, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		reply, retained, appended := s.readNow(from, limit)
		if !retained || len(reply.Records) > 0 || wait <= 0 {
			return reply, retained
		}
		select {
		case <-appended:
		case <-timer.C:
			return reply, true
		case <-ctx.Done():
			return reply, true
		}
	}
}

func (s *stream) readNow(from uint64, limit int) (protocol.ReadReply, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := s.first + uint64(len(s.records))
	reply := protocol.ReadReply{First: s.first, Next: max(from, s.first), Records: []protocol.WireRecord{}}
	if from < s.first {
		return reply, false, nil
	}
	for offset := from; offset < end && len(reply.Records) < limit; offset++ {
		reply.Records = append(reply.Records, protocol.WireRecord{Offset: offset, Data: s.records[offset-s.first]})
		reply.Next = offset + 1
	}
	return reply, true, s.appended
}

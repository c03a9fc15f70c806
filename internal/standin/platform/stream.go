package platform

import (
	"context"
	"sync"
	"time"

	protocol "fireflyfield/internal/platform"
)

// stream is an append-only sequence of records. It is safe for concurrent use.
type stream struct {
	// retain is the number of records kept; zero keeps all.
	retain int

	mu sync.Mutex
	// firstOffset is the offset of records[0].
	firstOffset uint64
	records     [][]byte
	// appended is closed and replaced at each append, to wake waiting reads.
	appended chan struct{}
}

func newStream(retain int) *stream {
	return &stream{retain: retain, firstOffset: 1, appended: make(chan struct{})}
}

// append adds the records, drops the oldest ones beyond the retention, and returns the
// offsets of the new records.
func (s *stream) append(records [][]byte) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offsets := make([]uint64, 0, len(records))
	for _, record := range records {
		offsets = append(offsets, s.firstOffset+uint64(len(s.records)))
		s.records = append(s.records, record)
	}
	if excess := len(s.records) - s.retain; s.retain > 0 && excess > 0 {
		s.records = append([][]byte(nil), s.records[excess:]...)
		s.firstOffset += uint64(excess)
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return offsets
}

// read returns up to limit records from the offset on. If there are none, it waits for
// an append, at most for the given time. The second result is false if the offset is no
// longer retained.
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

// readNow reads without waiting. It also returns the channel that the next append
// closes.
func (s *stream) readNow(from uint64, limit int) (protocol.ReadReply, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := s.firstOffset + uint64(len(s.records))
	reply := protocol.ReadReply{FirstRetained: s.firstOffset, Next: max(from, s.firstOffset), Records: []protocol.WireRecord{}}
	if from < s.firstOffset {
		return reply, false, nil
	}
	for offset := from; offset < end && len(reply.Records) < limit; offset++ {
		reply.Records = append(reply.Records, protocol.WireRecord{Offset: offset, Data: s.records[offset-s.firstOffset]})
		reply.Next = offset + 1
	}
	return reply, true, s.appended
}

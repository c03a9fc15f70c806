package ownership

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// readState is the progress of reading one stream.
type readState struct {
	outstanding bool
	sentAt      time.Duration
	// confirmed is the sending instant of the last read that reached the end.
	confirmed Instant
	// ended is the local time at which that read was answered.
	ended time.Duration
	ever  bool
}

// pendingAppend is a record that this VM wrote and has not read back.
type pendingAppend struct {
	stream Stream
	record Record
	begun  time.Duration
	// inFlight is set while no answer came; a record whose answer was lost is
	// sent again, with the same identifier, only after a read of the end of the
	// stream did not show it.
	inFlight bool
	lostAt   time.Duration
	done     bool
	units    []pendingUnit
}

// answers reports whether the log answered within LogTimeout.
func (d *Decider) logAnswers() bool {
	read := d.reads[DomainStream]
	return read.ever && d.now.Mono-read.ended <= LogTimeout
}

// confirmedAfter reports whether the end of the stream was read by a read that was
// sent at or after the local time.
func (d *Decider) confirmedAfter(stream Stream, since time.Duration) bool {
	read := d.reads[stream]
	return read.ever && read.confirmed.Mono >= since
}

func (d *Decider) pumpLog() {
	for stream := range streamCount {
		d.pumpRead(stream)
	}
	if !d.logAnswers() {
		return
	}
	for _, pending := range d.sortedAppends() {
		if !pending.inFlight && !pending.done && d.confirmedAfter(pending.stream, pending.lostAt) {
			d.sendAppend(pending)
		}
	}
}

// sortedAppends orders the records so that equal inputs give equal actions.
func (d *Decider) sortedAppends() []*pendingAppend {
	return slices.SortedFunc(maps.Values(d.appends), func(a, b *pendingAppend) int {
		return bytes.Compare(a.record.ID[:], b.record.ID[:])
	})
}

func (d *Decider) pumpRead(stream Stream) {
	read := &d.reads[stream]
	since := d.now.Mono - read.sentAt
	if read.outstanding && since < readTimeout {
		return
	}
	if read.sentAt != 0 && since < readInterval {
		return
	}
	read.outstanding = true
	read.sentAt = d.now.Mono
	d.emit(Read{Stream: stream, From: d.next(stream)})
}

func (d *Decider) next(stream Stream) uint64 {
	if stream == HomesStream {
		return d.homes.NextOffset
	}
	return d.state.NextOffset
}

func (d *Decider) recordsRead(e RecordsRead) {
	read := &d.reads[e.Stream]
	read.outstanding = false
	for _, record := range e.Records {
		d.replay(e.Stream, record)
	}
	if !e.ReachedEnd {
		// More records follow: read them at once.
		read.sentAt = 0
		return
	}
	if !read.ever || e.SentAt.Mono > read.confirmed.Mono {
		read.confirmed = e.SentAt
	}
	read.ever = true
	read.ended = d.now.Mono
}

func (d *Decider) replay(stream Stream, r StreamRecord) {
	pending := d.appends[r.Record.ID]
	if pending != nil && !r.Invalid {
		delete(d.appends, r.Record.ID)
	}
	if stream == HomesStream {
		d.replayHomes(r)
		return
	}
	if r.Invalid {
		d.state.Skip(r.Offset)
		return
	}
	term := d.state.Term
	if !d.state.Apply(r.Offset, r.Record) {
		return
	}
	if d.state.Term != term {
		d.termChanged()
	}
	if d.lead != nil {
		d.recordAccepted(r.Record, pending)
	}
}

func (d *Decider) replayHomes(r StreamRecord) {
	if r.Invalid {
		d.homes.Skip(r.Offset)
		return
	}
	if d.homes.Apply(r.Offset, r.Record) {
		d.replan()
		d.markChanged()
	}
}

// append writes a record and keeps it until it is read back.
func (d *Decider) append(stream Stream, record Record) *pendingAppend {
	record.ID = d.newID()
	pending := &pendingAppend{stream: stream, record: record, begun: d.now.Mono}
	d.appends[record.ID] = pending
	if d.logAnswers() {
		d.sendAppend(pending)
	}
	return pending
}

func (d *Decider) sendAppend(pending *pendingAppend) {
	pending.inFlight = true
	d.emit(Append{Stream: pending.stream, Record: pending.record})
}

func (d *Decider) appendDone(id RecordID) {
	pending, found := d.appends[id]
	if !found {
		return
	}
	pending.inFlight = false
	pending.done = true
	if pending.record.Claim != nil || pending.record.Release != nil {
		// Read it back at once: keys may be without an owner until then.
		d.reads[pending.stream].sentAt = 0
		d.reads[pending.stream].outstanding = false
	}
	d.unitsRecorded(pending)
}

func (d *Decider) appendLost(id RecordID) {
	pending, found := d.appends[id]
	if !found {
		return
	}
	pending.inFlight = false
	pending.lostAt = d.now.Mono
}

// dropAppends forgets the records of an ended term; replay refuses them.
func (d *Decider) dropAppends() {
	for id, pending := range d.appends {
		if pending.record.Home == nil && pending.record.Init == nil {
			delete(d.appends, id)
		}
	}
}

// appending reports whether a record that matches is not read back yet.
func (d *Decider) appending(match func(Record) bool) bool {
	for _, pending := range d.appends {
		if match(pending.record) {
			return true
		}
	}
	return false
}

package ownership

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// readState is the progress of reading one stream. Its times are monotonic times of
// this VM.
type readState struct {
	outstanding bool
	sentAt      time.Duration
	// confirmedAt is when the last read that reached the end was sent.
	confirmedAt Instant
	// answeredAt is when that read was answered.
	answeredAt time.Duration
	reachedEnd bool
}

// pendingAppend is a record that this VM appended and has not read back.
type pendingAppend struct {
	stream  Stream
	record  Record
	begunAt time.Duration
	// inFlight is set while the answer is awaited. A record whose answer was lost is
	// sent again, with the same identifier, only after a read of the end of the
	// stream did not show it.
	inFlight     bool
	lostAt       time.Duration
	acknowledged bool
	units        []pendingUnit
}

// logAvailable reports whether a read of the domain stream reached its end within the
// last LogTimeout.
func (d *Decider) logAvailable() bool {
	read := d.reads[DomainStream]
	return read.reachedEnd && d.now.Mono-read.answeredAt <= LogTimeout
}

// confirmedSince reports whether a read that was sent at or after since, in monotonic
// time, reached the end of the stream.
func (d *Decider) confirmedSince(stream Stream, since time.Duration) bool {
	read := d.reads[stream]
	return read.reachedEnd && read.confirmedAt.Mono >= since
}

// issueLogRequests starts the reads that are due and repeats the appends whose answer
// was lost.
func (d *Decider) issueLogRequests() {
	for stream := range streamCount {
		d.issueRead(stream)
	}
	if !d.logAvailable() {
		return
	}
	for _, pending := range d.sortedAppends() {
		if !pending.inFlight && !pending.acknowledged && d.confirmedSince(pending.stream, pending.lostAt) {
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

func (d *Decider) issueRead(stream Stream) {
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
	d.emit(Read{Stream: stream, From: d.nextOffset(stream)})
}

func (d *Decider) nextOffset(stream Stream) uint64 {
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
		// More records follow; read them without waiting for readInterval.
		read.sentAt = 0
		return
	}
	if !read.reachedEnd || e.SentAt.Mono > read.confirmedAt.Mono {
		read.confirmedAt = e.SentAt
	}
	read.reachedEnd = true
	read.answeredAt = d.now.Mono
}

// replay applies one record of a stream and its consequences for this VM.
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
		d.markMapChanged()
	}
}

// append gives the record an identifier, appends it to the stream and keeps it until
// it is read back. While the shared log is down the append is delayed.
func (d *Decider) append(stream Stream, record Record) *pendingAppend {
	record.ID = d.newID()
	pending := &pendingAppend{stream: stream, record: record, begunAt: d.now.Mono}
	d.appends[record.ID] = pending
	if d.logAvailable() {
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
	pending.acknowledged = true
	if pending.record.Claim != nil || pending.record.Release != nil {
		// Read the record back without delay: keys may have no owner until then.
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

// dropTermAppends drops the pending records that belong to an ended term; replay
// would refuse them. Records of the homes stream do not depend on the term.
func (d *Decider) dropTermAppends() {
	for id, pending := range d.appends {
		if pending.record.Home == nil && pending.record.Init == nil {
			delete(d.appends, id)
		}
	}
}

// hasPendingAppend reports whether a record that matches has not been read back yet.
func (d *Decider) hasPendingAppend(match func(Record) bool) bool {
	for _, pending := range d.appends {
		if match(pending.record) {
			return true
		}
	}
	return false
}

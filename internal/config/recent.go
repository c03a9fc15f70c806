package config

import "fireflyfield/internal/platform"

// Limits of the records kept in memory for peers.
const (
	maxRecentRecords = 1024
	maxRecentBytes   = 8 << 20
)

// recentRecords holds the most recent replayed records without a gap.
type recentRecords struct {
	records []platform.Record
	bytes   int
}

// add appends the record and drops the oldest ones beyond the limits. If the record
// does not follow the last one, it drops all others.
func (r *recentRecords) add(record platform.Record) {
	if len(r.records) > 0 && r.records[len(r.records)-1].Offset+1 != record.Offset {
		*r = recentRecords{}
	}
	r.records = append(r.records, record)
	r.bytes += len(record.Data)
	for len(r.records) > maxRecentRecords || (r.bytes > maxRecentBytes && len(r.records) > 1) {
		r.bytes -= len(r.records[0].Data)
		r.records[0] = platform.Record{}
		r.records = r.records[1:]
	}
}

// startingAt returns at most limit records that begin at the offset, or nil if the
// record at the offset is not held.
func (r *recentRecords) startingAt(offset uint64, limit int) []platform.Record {
	if len(r.records) == 0 || offset < r.records[0].Offset {
		return nil
	}
	skip := offset - r.records[0].Offset
	if skip >= uint64(len(r.records)) {
		return nil
	}
	rest := r.records[skip:]
	return append([]platform.Record(nil), rest[:min(limit, len(rest))]...)
}

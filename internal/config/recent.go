package config

import "fireflyfield/internal/platform"

// Limits of the records kept for peers.
const (
	recentCount = 1024
	recentBytes = 8 << 20
)

// recentRecords holds the newest consecutive records.
type recentRecords struct {
	records []platform.Record
	bytes   int
}

func (r *recentRecords) add(record platform.Record) {
	if len(r.records) > 0 && r.records[len(r.records)-1].Offset+1 != record.Offset {
		*r = recentRecords{}
	}
	r.records = append(r.records, record)
	r.bytes += len(record.Data)
	for len(r.records) > recentCount || (r.bytes > recentBytes && len(r.records) > 1) {
		r.bytes -= len(r.records[0].Data)
		r.records[0] = platform.Record{}
		r.records = r.records[1:]
	}
}

func (r *recentRecords) from(offset uint64, max int) []platform.Record {
	if len(r.records) == 0 || offset < r.records[0].Offset {
		return nil
	}
	skip := offset - r.records[0].Offset
	if skip >= uint64(len(r.records)) {
		return nil
	}
	rest := r.records[skip:]
	return append([]platform.Record(nil), rest[:min(max, len(rest))]...)
}

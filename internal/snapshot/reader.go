package snapshot

import (
	"context"

	"fireflyfield/internal/platform"

	"github.com/go-faster/errors"
)

// maxReadRecords bounds the records that one read returns.
const maxReadRecords = 64

// Reader reads the snapshots of one state from the stream. It is not safe for
// concurrent use.
type Reader struct {
	log       platform.Log
	assembler *Assembler
	// next is the offset of the next record to read.
	next uint64
	// malformed counts the records that could not be decoded.
	malformed uint64
}

// NewReader returns a reader for the snapshots of the state with the name. It starts at
// the oldest record that the shared log retains.
func NewReader(log platform.Log, name string) *Reader {
	return &Reader{log: log, assembler: NewAssembler(name), next: 1}
}

// ReadNewest reads the new records up to the end of the stream and returns the newest
// complete snapshot. It returns false if there is none.
func (r *Reader) ReadNewest(ctx context.Context) (Snapshot, bool, error) {
	for {
		batch, err := r.log.Read(ctx, Stream, r.next, maxReadRecords, 0)
		var trimmed *platform.OffsetTrimmedError
		if errors.As(err, &trimmed) && trimmed.First > r.next {
			r.next = trimmed.First
			continue
		}
		if err != nil {
			return Snapshot{}, false, errors.Wrap(err, "read snapshots")
		}
		if len(batch.Records) == 0 {
			newest, ok := r.assembler.Newest()
			return newest, ok, nil
		}
		r.add(batch.Records)
	}
}

func (r *Reader) add(records []platform.Record) {
	for _, record := range records {
		r.next = max(r.next, record.Offset+1)
		if _, err := r.assembler.Add(record.Data); err != nil {
			r.malformed++
		}
	}
}

// Malformed returns the number of records that could not be decoded.
func (r *Reader) Malformed() uint64 { return r.malformed }

// Write appends the snapshot to the stream. After an error the stream may hold a part of
// it, which readers ignore.
func Write(ctx context.Context, log platform.Log, s Snapshot) error {
	records, err := Encode(s)
	if err != nil {
		return err
	}
	const recordsPerAppend = 16
	for start := 0; start < len(records); start += recordsPerAppend {
		end := min(start+recordsPerAppend, len(records))
		if _, err := log.Append(ctx, Stream, records[start:end]...); err != nil {
			return errors.Wrapf(err, "append snapshot of %s", s.Name)
		}
	}
	return nil
}

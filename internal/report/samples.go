package report

import (
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// maxSamplesBytes bounds the input of ReadSamples: about 300,000 samples.
const maxSamplesBytes = 64 << 20

// ReadSamples decodes a JSON array of samples, the form in which VMs publish their
// aggregated counters. It rejects unknown fields, samples without a length or service,
// and samples with inconsistent counts.
func ReadSamples(input io.Reader) ([]Sample, error) {
	decoder := json.NewDecoder(io.LimitReader(input, maxSamplesBytes))
	decoder.DisallowUnknownFields()
	var samples []Sample
	if err := decoder.Decode(&samples); err != nil {
		return nil, errors.Wrap(err, "decode samples")
	}
	for i, s := range samples {
		if s.Length <= 0 || s.Service == "" {
			return nil, errors.Errorf("sample %d has no length or service", i)
		}
		if s.Failed > s.Valid || s.RefusedInside > s.Failed || s.Slow > s.Valid-s.Failed {
			return nil, errors.Errorf("sample %d has inconsistent counts: a part exceeds its total", i)
		}
	}
	return samples, nil
}

package keylease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fireflyfield/internal/keyrange"
	"fireflyfield/internal/sharedlog"
)

// TestCallsOfHoldersBefore guards against a table that forgets calls of holders before the
// recorded one, or counts them when they have ended. Records arrive a second apart.
func TestCallsOfHoldersBefore(t *testing.T) {
	const silent = AssignmentLeaseDuration + grantTimeout
	holder := func(name string, earlier time.Duration) keyrange.Assignment {
		return keyrange.Assignment{Holder: name, Address: name, EarlierCalls: earlier}
	}
	gaveUp := keyrange.Assignment{Unconfirmed: true, Address: "first"}
	for name, c := range map[string]struct {
		records []keyrange.Assignment
		want    time.Duration // after the first record
	}{
		"stated":                     {[]keyrange.Assignment{holder("first", 2*time.Second)}, 2 * time.Second},
		"not stated":                 {[]keyrange.Assignment{holder("first", keyrange.UnknownCalls)}, silent},
		"not stated again":           {[]keyrange.Assignment{holder("first", keyrange.UnknownCalls), holder("first", keyrange.UnknownCalls)}, silent},
		"same holder":                {[]keyrange.Assignment{holder("first", 3*time.Second), holder("first", 0)}, 3 * time.Second},
		"given up by the holder":     {[]keyrange.Assignment{holder("first", 0), gaveUp}, time.Second},
		"given up with earlier":      {[]keyrange.Assignment{holder("first", 3*time.Second), gaveUp}, 3 * time.Second},
		"given up by another holder": {[]keyrange.Assignment{holder("second", 0), gaveUp}, silent},
		"claimed over a silent one":  {[]keyrange.Assignment{holder("first", 0), holder("second", 0)}, silent},
		"claimed with earlier":       {[]keyrange.Assignment{holder("first", 9*time.Second), holder("second", 0)}, 9 * time.Second},
		"resigned":                   {[]keyrange.Assignment{holder("first", 9*time.Second), {}}, time.Second},
		"claimed after resignation":  {[]keyrange.Assignment{holder("first", 9*time.Second), {}, holder("second", 0)}, 2 * time.Second},
		"claimed what was given up":  {[]keyrange.Assignment{holder("first", 0), gaveUp, holder("second", grantTimeout)}, 2*time.Second + grantTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable(zap.NewNop())
			now := time.Hour
			for i, a := range c.records {
				table.apply(sharedlog.Batch{Records: []sharedlog.Record{encode(t, a)}, Next: int64(i) + 1}, now, now)
				now += time.Second
			}
			is.Equal(table.callsOfEarlierHolders(), time.Hour+c.want)
		})
	}
}

// TestAssignmentOfOlderCopy guards against an assignment and notices in a restored log that
// replace newer ones.
func TestAssignmentOfOlderCopy(t *testing.T) {
	is := is.New(t)
	table := NewTable(zap.NewNop())
	apply := func(era int64, a keyrange.Assignment) notices {
		return table.apply(sharedlog.Batch{Era: era, Records: []sharedlog.Record{encode(t, a), {Key: keyMembers, Value: []byte("m")}}, Next: 2}, 0, 0)
	}
	first := keyrange.Assignment{Holder: "first", Address: "first"}
	is.Equal(string(apply(1, first).members), "m") // none is known yet
	older := keyrange.Assignment{Holder: "older", Address: "older"}
	is.Equal(apply(1, older).members, nil)
	is.Equal(table.holder(), "first")
	older.Era = 1
	is.Equal(string(apply(1, older).members), "m")
	is.Equal(table.holder(), "older")
}

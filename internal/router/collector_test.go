package router

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"fireflyfield/internal/share"
	"fireflyfield/internal/sharedlog"
)

// appendLog is a shared log that keeps the records that are appended.
type appendLog struct {
	sharedlog.Log
	records []sharedlog.Record
	calls   int
}

func (l *appendLog) Append(_ context.Context, _ string, records []sharedlog.Record, _ sharedlog.Position) (sharedlog.Position, error) {
	l.calls++
	l.records = append(l.records, records...)
	return sharedlog.Position{}, nil
}

// newReporter returns a router whose reports go to the returned log, and the encoded report of
// another VM, "child".
func newReporter(t *testing.T) (r *Router, log *appendLog, report []byte) {
	t.Helper()
	is := is.New(t)
	log = &appendLog{}
	r, err := New(Options{VM: "relay", Domain: "d", Log: log, ReportTopic: "reports", Logger: zap.NewNop(), RevokeWithin: 5 * time.Second})
	is.NoErr(err)
	report, err = share.Encode(share.Report{Member: share.Member{VM: "child", Domain: "d"}, Number: 9})
	is.NoErr(err)
	return r, log, report
}

// TestRelayAppendsReportsOfOthers guards against VMs that are dropped from the members, and
// lose their shares of rates, while their relay reads the shared log itself: their reports
// stayed in its queue.
func TestRelayAppendsReportsOfOthers(t *testing.T) {
	is := is.New(t)
	r, log, report := newReporter(t)
	r.collector.receive([][]byte{report, []byte("not a report")})
	is.NoErr(r.collector.send(context.Background()))
	is.Equal(log.calls, 1)
	is.Equal(len(log.records), 2)
	is.Equal(log.records[0].Key, "child")
	is.Equal(log.records[1].Key, "relay")
	is.NoErr(r.collector.send(context.Background()))
	is.Equal(len(log.records), 3) // each report is appended once
}

// TestReturnedReportsAreAppended guards against VMs that are dropped from the members while they
// read the shared log themselves: the report that they had given to a relay which is cut off
// counted as sent, and so did those of the VMs that poll them.
func TestReturnedReportsAreAppended(t *testing.T) {
	is := is.New(t)
	r, log, report := newReporter(t)
	r.collector.receive([][]byte{report})
	reports := r.collector.takeDueReports()
	is.Equal(len(reports), 2)
	is.True(!r.collector.beginDirectReportIfDue()) // they are on their way
	r.collector.returnReports(reports)
	is.True(r.collector.beginDirectReportIfDue())
	is.NoErr(r.collector.send(context.Background()))
	is.Equal(len(log.records), 3) // both and a new one
	is.Equal(log.records[0].Key, "child")
	is.True(!r.collector.beginDirectReportIfDue())

	many := make([][]byte, 3)
	for i := range many {
		many[i] = make([]byte, maxForwardedBytes/2)
	}
	is.Equal(len(newestReports(many)), 2)
}

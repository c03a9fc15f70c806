package trace

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

var (
	testServer = Server{Service: "entretien", Name: "e1", Domain: "plateau"}
	testDigest = DigestOf([]byte("secret"))
	testHeader = Header{Version: Version, Role: RoleVM, Instance: "i1", Domain: "plateau"}
)

// samples holds one body of every type.
var samples = []Body{
	testHeader,
	Request{Request: "r1", Workspace: "w1", CallerKey: testDigest, Service: "entretien", Method: "POST", Path: "/entretien/k", Key: 1 << 63, IdempotencyKey: 7, BodyBytes: -1},
	Admitted{Request: "r1", Workspace: "w1"},
	Attempt{Request: "r1", Attempt: 1, Server: testServer, Unit: HotKeyUnit(5), Token: Token{3 << 16, 9}, InFlight: 2},
	AttemptOutcome{Request: "r1", Attempt: 1, Outcome: NotRun, Status: 503, Reason: RefusedLoadShed},
	Answer{Request: "r1", Attempt: 1, Outcome: Ran, Status: 200, Bytes: 5, Digest: 11, InsideRate: true},
	RunStart{Request: "r1", Attempt: 1, Server: testServer, Workspace: "w1", Key: 5, Unit: 5, Token: Token{1, 2}, Credentials: []Digest{testDigest}},
	RunEnd{Request: "r1", Attempt: 1, Server: testServer, Status: 200, Bytes: 5, Digest: 11},
	RunRefused{Request: "r1", Attempt: 1, Server: testServer, Reason: RefusedFence},
	Grant{Server: testServer, Instance: "b1", Unit: 5, Token: Token{1, 2}, Expires: 9},
	Renew{Server: testServer, Instance: "b1", Expires: 10},
	Revoke{Server: testServer, Instance: "b1", Unit: 5},
	Lapse{Server: testServer, Instance: "b1", Unit: 5},
	ServerState{Server: testServer, Instance: "b1", State: Cold, Capacity: 1},
	Leave{Phase: LeaveDrain, Domain: "plateau", Revision: 4},
	CallerKey{Digest: testDigest, Workspace: "w1"},
	CallerKeyWithdraw{Digest: testDigest},
	Rate{Workspace: "w1", RequestsPerSecond: 10, Burst: 5},
	ConfigAccepted{Revision: 4, Digest: 1},
	ConfigInForce{Revision: 4, Digest: 1},
	Stop{Phase: Begin},
	Fault{Phase: Begin, ID: "f1", Kind: FaultLogDown},
	End{Dropped: 0},
}

func fixedClock() time.Time { return time.Unix(0, 1000) }

func newTestWriter(t *testing.T, output io.Writer, vm string, buffer int) *Writer {
	t.Helper()
	writer, err := NewWriter(output, WriterOptions{VM: vm, Header: testHeader, BufferEvents: buffer, Now: fixedClock})
	is.New(t).NoErr(err)
	return writer
}

// Guards against a type that is written but can't be read back, or loses a field.
func TestEveryTypeRoundTrips(t *testing.T) {
	is := is.New(t)
	is.Equal(len(samples), len(bodyDecoders))
	var file bytes.Buffer
	writer := newTestWriter(t, &file, "vm1", 0)
	for _, body := range samples[1 : len(samples)-1] {
		writer.Record(body)
	}
	is.NoErr(writer.Close())
	events, err := ReadAll(&file, ReaderOptions{})
	is.NoErr(err)
	is.Equal(len(events), len(samples))
	for i, event := range events {
		is.Equal(event, Event{Time: 1000, VM: "vm1", Seq: uint64(i + 1), Body: samples[i]})
	}
}

const headerLine = `{"time":1,"vm":"a","seq":1,"type":"header","body":{"version":1,"role":"vm","instance":"i"}}` + "\n"

// Guards against a damaged or foreign file being read as if it were complete.
func TestReaderRefuses(t *testing.T) {
	cases := []struct{ name, input, want string }{
		{"empty", "", "line 1: trace is empty"},
		{"no header", `{"time":1,"vm":"a","seq":1,"type":"stop","body":{"phase":"begin"}}` + "\n", `line 1: stop before the header of "a"`},
		{"version", strings.Replace(headerLine, `"version":1`, `"version":2`, 1), "line 1: header: version 2 is not 1"},
		{"unknown type", headerLine + `{"time":1,"vm":"a","seq":2,"type":"song","body":{}}` + "\n", `line 2: unknown type "song"`},
		{"unknown field", headerLine + `{"time":1,"vm":"a","seq":2,"type":"end","body":{"x":1}}` + "\n", `line 2: decode end: json: unknown field "x"`},
		{"repeated number", headerLine + `{"time":1,"vm":"a","seq":1,"type":"end","body":{}}` + "\n", "line 2: sequence number 1 after 1"},
		{"two values", headerLine + strings.TrimSpace(headerLine) + "{}\n", "line 2: more than one value"},
		{"long line", headerLine + strings.Repeat("x", 2000) + "\n", "line 2: line is longer than 1024 bytes"},
		{"no line break", headerLine + `{"time":1`, "line 2: the last line is incomplete"},
		{"raw caller key", headerLine + `{"time":1,"vm":"a","seq":2,"type":"caller-key","body":{"digest":"abc","workspace":"w"}}` + "\n", "digest is not 64"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ReadAll(strings.NewReader(c.input), ReaderOptions{MaxLineBytes: 1024})
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v lacks %q", err, c.want)
			}
		})
	}
	_, err := ReadAll(strings.NewReader(headerLine), ReaderOptions{MaxFileBytes: 10})
	is.New(t).True(err != nil) // the size limit of the file holds
}

// Guards against a caller key reaching the file through a field for digests or
// through the path.
func TestWriterRefusesSecrets(t *testing.T) {
	is := is.New(t)
	var file bytes.Buffer
	writer := newTestWriter(t, &file, "vm1", 0)
	writer.Record(CallerKey{Digest: "hunter2", Workspace: "w1"})
	writer.Record(Request{Request: "r", Service: "s", Method: "GET", Path: "/s?key=hunter2"})
	writer.Record(RunStart{Request: "r", Attempt: 1, Server: testServer, Credentials: []Digest{"hunter2"}})
	err := writer.Close()
	is.True(err != nil)
	is.True(!strings.Contains(err.Error()+file.String(), "hunter2"))
	is.Equal(writer.Dropped(), uint64(3))
}

// blockedOutput blocks every Write until it is released.
type blockedOutput struct {
	entered, release chan struct{}
	once             sync.Once
	bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	b.once.Do(func() { close(b.entered) })
	<-b.release
	return b.Buffer.Write(p)
}

// Guards against Record waiting for a slow file, and against drops that leave no
// sign in the trace.
func TestWriterDropsAndCounts(t *testing.T) {
	is := is.New(t)
	output := &blockedOutput{entered: make(chan struct{}), release: make(chan struct{})}
	writer := newTestWriter(t, output, "vm1", 2)
	<-output.entered
	for range 5 {
		writer.Record(Stop{Phase: Begin})
	}
	is.Equal(writer.Dropped(), uint64(3))
	close(output.release)
	is.NoErr(writer.Close())
	writer.Record(Stop{Phase: Begin})
	events, err := ReadAll(&output.Buffer, ReaderOptions{})
	is.NoErr(err)
	is.Equal(len(events), 4)
	is.Equal(events[3].Seq, uint64(7))
	is.Equal(events[3].Body, End{Dropped: 3})
}

// Guards against a panic when tracing is off or a writer is closed twice.
func TestWriterOffAndClosedTwice(t *testing.T) {
	is := is.New(t)
	var off *Writer
	off.Record(Stop{Phase: Begin})
	off.RecordAt(fixedClock(), Stop{Phase: Begin})
	is.NoErr(off.Close())
	is.Equal(off.Dropped(), uint64(0))
	writer := newTestWriter(t, io.Discard, "vm1", 0)
	is.NoErr(writer.Close())
	is.NoErr(writer.Close())
}

type failingOutput struct{}

func (failingOutput) Write([]byte) (int, error) { return 0, errors.New("disk full") }

// Guards against a full disk going unnoticed.
func TestWriterReportsWriteError(t *testing.T) {
	is := is.New(t)
	writer := newTestWriter(t, failingOutput{}, "vm1", 0)
	err := writer.Close()
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "disk full"))
}

// Guards against lost or doubled events when many goroutines record.
func TestWriterConcurrentUse(t *testing.T) {
	is := is.New(t)
	var file bytes.Buffer
	writer := newTestWriter(t, &file, "vm1", 0)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 200 {
				writer.Record(Admitted{Request: "r", Workspace: "w"})
			}
		})
	}
	group.Wait()
	is.NoErr(writer.Close())
	events, err := ReadAll(&file, ReaderOptions{})
	is.NoErr(err)
	is.Equal(len(events), 8*200+2)
	is.Equal(events[len(events)-1].Seq, uint64(8*200+2))
}

func fileOf(vm string, times ...int64) *Reader {
	var file bytes.Buffer
	for i, at := range times {
		var body Body = Stop{Phase: Begin}
		if i == 0 {
			body = testHeader
		}
		data, err := Event{Time: at, VM: vm, Seq: uint64(i + 1), Body: body}.MarshalJSON()
		if err != nil {
			panic(err)
		}
		file.Write(append(data, '\n'))
	}
	return NewReader(&file, ReaderOptions{})
}

// Guards against events of several VMs in the wrong order, also where one clock
// went back, and against a merged file that can't be read again.
func TestMergeOrdersByTime(t *testing.T) {
	is := is.New(t)
	var merged bytes.Buffer
	is.NoErr(WriteAll(&merged, Merge(fileOf("b", 1, 5, 9), fileOf("a", 1, 6, 4, 20))))
	events, err := ReadAll(&merged, ReaderOptions{})
	is.NoErr(err)
	var times []int64
	for _, event := range events {
		times = append(times, event.Time)
	}
	is.Equal(times, []int64{1, 1, 5, 6, 4, 9, 20})
	is.Equal(events[0].VM, "a")
}

// Guards against one VM's incomplete file hiding the events of the others.
func TestMergeKeepsOthersAfterTruncation(t *testing.T) {
	is := is.New(t)
	cut := NewReader(strings.NewReader(headerLine+"{"), ReaderOptions{})
	events, err := MergeAll(cut, fileOf("b", 1, 5, 9))
	is.Equal(len(events), 4)
	is.True(errors.Is(err, ErrTruncated))
}

// Guards against a panic or an accepted event that can't be written again.
func FuzzReader(f *testing.F) {
	for i, body := range samples {
		data, err := Event{Time: 1, VM: "a", Seq: uint64(i + 1), Body: body}.MarshalJSON()
		if err != nil {
			f.Fatal(err)
		}
		f.Add([]byte(headerLine + string(data) + "\n"))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		events, _ := ReadAll(bytes.NewReader(data), ReaderOptions{MaxLineBytes: 4096, MaxFileBytes: 1 << 16})
		for _, event := range events {
			written, err := event.MarshalJSON()
			if err != nil {
				t.Fatalf("accepted event can't be written: %v", err)
			}
			var again Event
			if err := again.UnmarshalJSON(written); err != nil {
				t.Fatalf("written event can't be read: %v", err)
			}
		}
	})
}

// BenchmarkRecord measures what the request path pays. The buffer is larger than
// the run, so that no event is dropped.
func BenchmarkRecord(b *testing.B) {
	writer, err := NewWriter(io.Discard, WriterOptions{VM: "vm1", Header: testHeader, BufferEvents: 1 << 30})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		writer.Record(samples[3])
	}
	b.StopTimer()
	writer.Close()
}

// BenchmarkEncode measures what the writing goroutine pays.
func BenchmarkEncode(b *testing.B) {
	event := Event{Time: 1, VM: "vm1", Seq: 1, Body: samples[3]}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := event.MarshalJSON(); err != nil {
			b.Fatal(err)
		}
	}
}

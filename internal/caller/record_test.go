package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"fireflyfield/internal/backend"
	"fireflyfield/internal/dispatch"
	"fireflyfield/internal/outcome"
	"fireflyfield/internal/resource"
)

const testCallerKey = "caller-secret-71"

// fakes implements every dependency of the handler.
type fakes struct {
	answer   string
	cut      bool
	received []RequestInfo
	admitted int
	finished []AnswerInfo
}

func (*fakes) Authenticate(token, _ string) (Identity, *outcome.Refusal) {
	if token != testCallerKey {
		return Identity{}, outcome.NotRunRefusal(http.StatusUnauthorized, "unknown-caller-key", "")
	}
	return Identity{Workspace: "w"}, nil
}
func (*fakes) Take(context.Context, string) *outcome.Refusal { return nil }
func (*fakes) Service(name string) (*resource.ServiceSpec, bool) {
	return &resource.ServiceSpec{MaxBodyBytes: 1 << 20, Timeout: resource.Duration(resource.DefaultTimeout)}, name == "rota"
}
func (f *fakes) Dispatch(context.Context, *dispatch.Request) (*backend.Response, *outcome.Refusal) {
	body := io.NopCloser(strings.NewReader(f.answer))
	if f.cut {
		body = io.NopCloser(io.MultiReader(strings.NewReader(f.answer), failingReader{}))
	}
	return &backend.Response{Status: http.StatusOK, Header: http.Header{}, Body: body, Attempt: 3}, nil
}
func (*fakes) Answered(*dispatch.Request, Answer)            {}
func (f *fakes) Received(_ *dispatch.Request, r RequestInfo) { f.received = append(f.received, r) }
func (f *fakes) Admitted(*dispatch.Request)                  { f.admitted++ }
func (f *fakes) Finished(_ *dispatch.Request, a AnswerInfo)  { f.finished = append(f.finished, a) }

// failingReader fails as a connection that broke off does.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func (f *fakes) serve(target, token string) {
	handler := New(f, f, f, f, f, func() bool { return false })
	handler.Recorder = f
	request := httptest.NewRequest(http.MethodGet, target, nil)
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	defer func() { _ = recover() }() // a cut answer panics with http.ErrAbortHandler
	handler.ServeHTTP(httptest.NewRecorder(), request)
}

// Guards against recording a length, digest or attempt number that differs from that
// of the answer sent.
func TestRecordsAnswer(t *testing.T) {
	is := is.New(t)
	p := &fakes{answer: "hello"}
	p.serve("/rota/plan", testCallerKey)
	is.Equal(p.received, []RequestInfo{{Path: "/rota/plan", Token: testCallerKey}})
	is.Equal(p.admitted, 1)
	is.Equal(len(p.finished), 1)
	is.Equal(p.finished[0].Attempt, uint32(3))
	is.Equal(p.finished[0].BodyBytes, int64(5))
	is.Equal(p.finished[0].BodyDigest, xxhash.Sum64String("hello"))
	is.True(p.finished[0].Admitted)
}

// Guards against recording a cut answer as complete.
func TestRecordsCutAnswer(t *testing.T) {
	is := is.New(t)
	p := &fakes{answer: "hello", cut: true}
	p.serve("/rota/plan", testCallerKey)
	is.Equal(len(p.finished), 1)
	is.True(p.finished[0].Answer.Cut)
	is.Equal(p.finished[0].CutCause, CutByRouter)
}

// Guards against a recorded path that contains the caller key, also when the request
// has no Authorization header.
func TestRecordedPathOmitsCallerKey(t *testing.T) {
	is := is.New(t)
	p := &fakes{}
	escaped := strings.Replace(testCallerKey, "-", "%2D", 1)
	for _, target := range []string{"/rota/" + testCallerKey, "/rota/" + escaped, "/rota/a?k=" + testCallerKey, "/" + testCallerKey + "/a"} {
		p.serve(target, testCallerKey)
		p.serve(target, "")
	}
	for _, info := range p.received {
		info.Token = ""
		data, err := json.Marshal(info)
		is.NoErr(err)
		is.True(!strings.Contains(string(data), testCallerKey))
		is.True(!strings.Contains(string(data), escaped))
	}
	is.Equal(len(p.received), 6) // requests for an unknown service are not recorded
}

// discardRecorder records nothing.
type discardRecorder struct{}

func (discardRecorder) Received(*dispatch.Request, RequestInfo) {}
func (discardRecorder) Admitted(*dispatch.Request)              {}
func (discardRecorder) Finished(*dispatch.Request, AnswerInfo)  {}

// BenchmarkHandler measures one request with an answer of 4 KiB, without and with a
// recorder.
func BenchmarkHandler(b *testing.B) {
	for name, recorder := range map[string]Recorder{"recorder=off": nil, "recorder=on": discardRecorder{}} {
		b.Run(name, func(b *testing.B) {
			p := &fakes{answer: strings.Repeat("x", 4096)}
			handler := New(p, p, p, p, p, func() bool { return false })
			handler.Recorder = recorder
			b.ReportAllocs()
			for b.Loop() {
				request := httptest.NewRequest(http.MethodGet, "/rota/plan", nil)
				request.Header.Set("Authorization", "Bearer "+testCallerKey)
				handler.ServeHTTP(httptest.NewRecorder(), request)
			}
		})
	}
}

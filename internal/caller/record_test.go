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

const secret = "caller-secret-71"

// parts stands in for everything around the handler.
type parts struct {
	answer   string
	cut      bool
	received []Arrival
	admitted int
	sent     []Sent
}

func (*parts) Authenticate(token, _ string) (Identity, *outcome.Refusal) {
	if token != secret {
		return Identity{}, outcome.NotRunRefusal(http.StatusUnauthorized, "unknown-caller-key", "")
	}
	return Identity{Workspace: "w"}, nil
}
func (*parts) Take(context.Context, string) *outcome.Refusal { return nil }
func (*parts) Service(name string) (*resource.ServiceSpec, bool) {
	return &resource.ServiceSpec{MaxBodyBytes: 1 << 20, Timeout: resource.Duration(resource.DefaultTimeout)}, name == "rota"
}
func (p *parts) Dispatch(context.Context, *dispatch.Request) (*backend.Response, *outcome.Refusal) {
	body := io.NopCloser(strings.NewReader(p.answer))
	if p.cut {
		body = io.NopCloser(io.MultiReader(strings.NewReader(p.answer), cutReader{}))
	}
	return &backend.Response{Status: http.StatusOK, Header: http.Header{}, Body: body, Attempt: 3}, nil
}
func (*parts) Answered(*dispatch.Request, Answer)        {}
func (p *parts) Received(_ *dispatch.Request, a Arrival) { p.received = append(p.received, a) }
func (p *parts) Admitted(*dispatch.Request)              { p.admitted++ }
func (p *parts) Finished(_ *dispatch.Request, sent Sent) { p.sent = append(p.sent, sent) }

// cutReader fails as a connection that broke off does.
type cutReader struct{}

func (cutReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func (p *parts) serve(target, token string) {
	handler := New(p, p, p, p, p, func() bool { return false })
	handler.Recorder = p
	request := httptest.NewRequest(http.MethodGet, target, nil)
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	defer func() { _ = recover() }() // a cut answer aborts the connection
	handler.ServeHTTP(httptest.NewRecorder(), request)
}

// Guards against an answer whose recorded length, digest or attempt is not that of
// the bytes sent.
func TestRecordsAnswer(t *testing.T) {
	is := is.New(t)
	p := &parts{answer: "hello"}
	p.serve("/rota/plan", secret)
	is.Equal(p.received, []Arrival{{Path: "/rota/plan", Token: secret}})
	is.Equal(p.admitted, 1)
	is.Equal(len(p.sent), 1)
	is.Equal(p.sent[0].Attempt, uint32(3))
	is.Equal(p.sent[0].Bytes, int64(5))
	is.Equal(p.sent[0].Digest, xxhash.Sum64String("hello"))
	is.True(p.sent[0].Admitted)
}

// Guards against a cut answer that is recorded as complete.
func TestRecordsCut(t *testing.T) {
	is := is.New(t)
	p := &parts{answer: "hello", cut: true}
	p.serve("/rota/plan", secret)
	is.Equal(len(p.sent), 1)
	is.True(p.sent[0].Answer.Cut)
	is.Equal(p.sent[0].Cause, CutByRouter)
}

// Guards against a caller key in the recorded path.
func TestRecordsNoKeyInPath(t *testing.T) {
	is := is.New(t)
	p := &parts{}
	escaped := strings.Replace(secret, "-", "%2D", 1)
	for _, target := range []string{"/rota/" + secret, "/rota/" + escaped, "/rota/a?k=" + secret, "/" + secret + "/a"} {
		p.serve(target, secret)
		p.serve(target, "")
	}
	for _, arrival := range p.received {
		arrival.Token = ""
		data, err := json.Marshal(arrival)
		is.NoErr(err)
		is.True(!strings.Contains(string(data), secret))
		is.True(!strings.Contains(string(data), escaped))
	}
	is.Equal(len(p.received), 6) // none for the service that does not exist
}

// discard records nothing.
type discard struct{}

func (discard) Received(*dispatch.Request, Arrival) {}
func (discard) Admitted(*dispatch.Request)          {}
func (discard) Finished(*dispatch.Request, Sent)    {}

// BenchmarkHandler measures one request without and with a recorder, the answer
// of 4 KiB included.
func BenchmarkHandler(b *testing.B) {
	for name, recorder := range map[string]Recorder{"recorder=off": nil, "recorder=on": discard{}} {
		b.Run(name, func(b *testing.B) {
			p := &parts{answer: strings.Repeat("x", 4096)}
			handler := New(p, p, p, p, p, func() bool { return false })
			handler.Recorder = recorder
			b.ReportAllocs()
			for b.Loop() {
				request := httptest.NewRequest(http.MethodGet, "/rota/plan", nil)
				request.Header.Set("Authorization", "Bearer "+secret)
				handler.ServeHTTP(httptest.NewRecorder(), request)
			}
		})
	}
}

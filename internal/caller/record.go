package caller

import (
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyfield/internal/backend"
	"fireflyfield/internal/callerkey"
	"fireflyfield/internal/dispatch"
)

// Arrival is what a recorder needs of a request besides its dispatch form.
type Arrival struct {
	// Path is escaped and without the query, which may hold a caller key.
	Path string
	// Token is the caller key that was sent. A recorder must keep its digest only.
	Token string
	// BodyBytes is the declared size of the body; -1 when it was not declared.
	BodyBytes int64
}

// CutCause says why an answer broke off.
type CutCause uint8

// The causes of a cut answer.
const (
	// CutByRouter includes an answer that the backend server broke off.
	CutByRouter CutCause = iota
	CutByCaller
	CutAtDeadline
	CutByKey
)

// Sent describes an answer for a recorder.
type Sent struct {
	Answer Answer
	// Attempt is the number of the attempt whose answer was sent; zero for an
	// answer that the VM made.
	Attempt uint32
	// ReplayOf is the request whose stored answer was sent.
	ReplayOf string
	// Bytes is the length of the body, Digest its xxhash64.
	Bytes  int64
	Digest uint64
	// Admitted says that a token of the workspace's rate was taken.
	Admitted bool
	// Cause is valid for a cut answer.
	Cause CutCause
}

// Recorder is told of every request for an existing service, for a trace.
type Recorder interface {
	// Received is called after authentication, whatever its result.
	Received(r *dispatch.Request, arrival Arrival)
	// Admitted is called when a token of the workspace's rate was taken.
	Admitted(r *dispatch.Request)
	// Finished is called after the last byte was written or the answer broke off.
	Finished(r *dispatch.Request, sent Sent)
}

// recording follows one request for a Recorder. A nil recording ignores every
// call, so that a VM without a trace pays a comparison.
type recording struct {
	recorder  Recorder
	request   *dispatch.Request
	caller    *http.Request
	withdrawn <-chan struct{}
	received  bool
	sent      Sent
	body      *digestBody
}

// record starts to follow a request. A request for a service that does not exist
// is not recorded, because what stands in its place can be a caller key.
func (h *Handler) record(r *http.Request, request *dispatch.Request) *recording {
	if h.Recorder == nil {
		return nil
	}
	if _, ok := h.Services.Service(request.Service); !ok {
		return nil
	}
	return &recording{recorder: h.Recorder, request: request, caller: r}
}

func (r *recording) receive(token string, identity Identity) {
	if r == nil {
		return
	}
	r.received = true
	r.withdrawn = identity.Withdrawn
	r.recorder.Received(r.request, Arrival{Path: r.path(token), Token: token, BodyBytes: r.caller.ContentLength})
}

// path leaves out what follows the service where it holds the caller key, or where
// it could be one because the request carries none in its place.
func (r *recording) path(token string) string {
	path := r.caller.URL.EscapedPath()
	if token == "" || callerkey.Carries(path, token) {
		return "/" + r.request.Service
	}
	return path
}

func (r *recording) admit() {
	if r == nil {
		return
	}
	r.sent.Admitted = true
	r.recorder.Admitted(r.request)
}

// watch counts the answer's body while it is sent.
func (r *recording) watch(resp *backend.Response) {
	if r == nil {
		return
	}
	r.sent.Attempt = resp.Attempt
	r.sent.ReplayOf = resp.ReplayOf
	r.body = &digestBody{ReadCloser: resp.Body, digest: xxhash.New()}
	resp.Body = r.body
}

func (r *recording) finish(answer Answer) {
	if r == nil || !r.received {
		return
	}
	r.sent.Answer = answer
	if r.body != nil {
		r.sent.Bytes = r.body.bytes
		r.sent.Digest = r.body.digest.Sum64()
	}
	if answer.Cut {
		r.sent.Cause = r.cutCause()
	}
	r.recorder.Finished(r.request, r.sent)
}

func (r *recording) cutCause() CutCause {
	select {
	case <-r.withdrawn:
		return CutByKey
	default:
	}
	switch {
	case r.caller.Context().Err() != nil:
		return CutByCaller
	case !time.Now().Before(r.request.Deadline):
		return CutAtDeadline
	default:
		return CutByRouter
	}
}

// digestBody counts and hashes what is read.
type digestBody struct {
	io.ReadCloser
	digest *xxhash.Digest
	bytes  int64
}

// Read implements io.Reader.
func (b *digestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	_, _ = b.digest.Write(p[:n]) // never fails
	return n, err
}

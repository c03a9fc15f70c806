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

// RequestInfo holds what a Recorder needs to know about a request besides the
// dispatch.Request.
type RequestInfo struct {
	// Path is escaped. It lacks the query, which may contain a caller key.
	Path string
	// Token is the caller key that was sent, or empty. A Recorder must store only its
	// digest.
	Token string
	// BodyBytes is the declared size of the body, or -1 if none was declared.
	BodyBytes int64
}

// CutCause is the reason why an answer was not sent to its end.
type CutCause uint8

// Causes of a cut answer.
const (
	// CutByRouter is the cause if no other one applies. It includes answers that the
	// backend server broke off.
	CutByRouter CutCause = iota
	// CutByCaller means that the caller closed the connection.
	CutByCaller
	// CutAtDeadline means that the deadline of the request passed.
	CutAtDeadline
	// CutByKeyWithdrawal means that the caller key was withdrawn.
	CutByKeyWithdrawal
)

// AnswerInfo describes an answer for a Recorder.
type AnswerInfo struct {
	Answer Answer
	// Attempt is the number of the attempt whose response was sent, or zero for an
	// answer that the VM made itself.
	Attempt uint32
	// ReplayOf is the ID of the request whose stored response was sent, or empty.
	ReplayOf string
	// BodyBytes is the length of the body that was sent, BodyDigest its xxhash64.
	BodyBytes  int64
	BodyDigest uint64
	// Admitted is set if the request was counted against the workspace's rate.
	Admitted bool
	// CutCause is meaningful only if Answer.Cut is set.
	CutCause CutCause
}

// Recorder records every request for an existing service in a trace.
type Recorder interface {
	// Received is called after authentication and validation, whatever their result.
	Received(r *dispatch.Request, info RequestInfo)
	// Admitted is called when the request was counted against the workspace's rate.
	Admitted(r *dispatch.Request)
	// Finished is called after the last byte of the answer was written or the answer
	// was cut.
	Finished(r *dispatch.Request, info AnswerInfo)
}

// requestRecording reports the events of one request to a Recorder. On a nil pointer
// the methods that report an event do nothing, so that a VM without a trace pays only
// for a comparison.
type requestRecording struct {
	recorder    Recorder
	request     *dispatch.Request
	httpRequest *http.Request
	withdrawn   <-chan struct{}
	received    bool
	answer      AnswerInfo
	body        *hashingBody
}

// startRecording returns nil if there is no Recorder or the service does not exist.
// Requests for unknown services are not recorded, because the path segment in place
// of the service name may be a caller key.
func (h *Handler) startRecording(r *http.Request, request *dispatch.Request) *requestRecording {
	if h.Recorder == nil {
		return nil
	}
	if _, ok := h.Services.Service(request.Service); !ok {
		return nil
	}
	return &requestRecording{recorder: h.Recorder, request: request, httpRequest: r}
}

// recordReceived reports the request. Without it, recordFinished reports nothing.
func (r *requestRecording) recordReceived(token string, identity Identity) {
	if r == nil {
		return
	}
	r.received = true
	r.withdrawn = identity.Withdrawn
	r.recorder.Received(r.request, RequestInfo{Path: r.recordedPath(token), Token: token, BodyBytes: r.httpRequest.ContentLength})
}

// recordedPath returns the path of the request. It omits what follows the service name
// if that contains the caller key, or may contain it because the Authorization header
// has none.
func (r *requestRecording) recordedPath(token string) string {
	path := r.httpRequest.URL.EscapedPath()
	if token == "" || callerkey.ContainsToken(path, token) {
		return "/" + r.request.Service
	}
	return path
}

func (r *requestRecording) recordAdmitted() {
	if r == nil {
		return
	}
	r.answer.Admitted = true
	r.recorder.Admitted(r.request)
}

// hashBody wraps the body of the response so that it is counted and hashed while it
// is sent.
func (r *requestRecording) hashBody(resp *backend.Response) {
	if r == nil {
		return
	}
	r.answer.Attempt = resp.Attempt
	r.answer.ReplayOf = resp.ReplayOf
	r.body = &hashingBody{ReadCloser: resp.Body, digest: xxhash.New()}
	resp.Body = r.body
}

func (r *requestRecording) recordFinished(answer Answer) {
	if r == nil || !r.received {
		return
	}
	r.answer.Answer = answer
	if r.body != nil {
		r.answer.BodyBytes = r.body.bytes
		r.answer.BodyDigest = r.body.digest.Sum64()
	}
	if answer.Cut {
		r.answer.CutCause = r.cutCause()
	}
	r.recorder.Finished(r.request, r.answer)
}

func (r *requestRecording) cutCause() CutCause {
	select {
	case <-r.withdrawn:
		return CutByKeyWithdrawal
	default:
	}
	switch {
	case r.httpRequest.Context().Err() != nil:
		return CutByCaller
	case !time.Now().Before(r.request.Deadline):
		return CutAtDeadline
	default:
		return CutByRouter
	}
}

// hashingBody counts and hashes the bytes that are read.
type hashingBody struct {
	io.ReadCloser
	digest *xxhash.Digest
	bytes  int64
}

// Read implements io.Reader.
func (b *hashingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	_, _ = b.digest.Write(p[:n]) // never fails
	return n, err
}

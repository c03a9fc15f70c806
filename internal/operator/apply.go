package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"

	"fireflyfield/internal/config"
	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/resource"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"
)

// maxApplyBytes bounds the body of an apply request to twice the size of the largest
// record that can be appended.
const maxApplyBytes = 2 * config.MaxRecordBytes

// apply serves POST /v1/apply.
func (h *handler) apply(w http.ResponseWriter, r *http.Request) {
	request, ok := readApply(w, r)
	if !ok {
		return
	}
	changes, faults, err := decodeChanges(request.Changes)
	if err != nil {
		writeBadRequest(w, err.Error())
		return
	}
	if len(faults) > 0 {
		writeInvalidDocuments(w, faults)
		return
	}
	h.submit(w, r, request.ID, request.Seen, changes)
}

// readApply decodes and checks the request; it answers the request itself if it
// returns false. It requires a JSON content type, because a browser sends that to
// another origin only after a CORS preflight request.
func readApply(w http.ResponseWriter, r *http.Request) (api.ApplyRequest, bool) {
	var request api.ApplyRequest
	if mediaType, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type")); mediaType != api.ContentJSON {
		writeBadRequest(w, "the header Content-Type: application/json is missing")
		return request, false
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxApplyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&request)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeBadRequest(w, fmt.Sprintf("the body is larger than %d bytes", maxApplyBytes))
	case err != nil:
		writeBadRequest(w, "the body is no apply request: "+describeJSONError(err))
	case decoder.Decode(&struct{}{}) != io.EOF:
		writeBadRequest(w, "the body has data after the apply request")
	case len(request.Changes) == 0:
		writeBadRequest(w, "changes is missing or empty")
	case len(request.Changes) > config.MaxChanges:
		writeBadRequest(w, fmt.Sprintf("%d changes, at most %d are allowed", len(request.Changes), config.MaxChanges))
	default:
		return request, true
	}
	return request, false
}

// describeJSONError names the place of a decoding error without quoting the input,
// which may contain secrets.
func describeJSONError(err error) string {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return fmt.Sprintf("field %s must be %s", mismatch.Field, mismatch.Type)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Sprintf("syntax error at byte %d", syntax.Offset)
	}
	return "unknown field, incomplete JSON or bad identifier"
}

// decodeChanges returns the changes and every fault of their documents. An error
// means that a change itself is malformed.
func decodeChanges(requested []api.Change) ([]config.Change, resource.Faults, error) {
	var changes []config.Change
	var faults resource.Faults
	for i, change := range requested {
		number := i + 1
		switch change.Op {
		case api.OpDelete:
			if change.Kind == "" || change.Name == "" {
				return nil, nil, errors.Errorf("change %d: kind or name is missing", number)
			}
			changes = append(changes, config.Delete(resource.ID{Kind: change.Kind, Name: change.Name}, change.Base))
		case api.OpPut:
			if len(change.Resource) == 0 {
				return nil, nil, errors.Errorf("change %d: resource is missing", number)
			}
			r, found := resource.DecodeDocument(change.Resource, number)
			faults = append(faults, found...)
			if len(found) > 0 {
				continue
			}
			put, err := config.Put(r, change.Base)
			if err != nil {
				return nil, nil, err
			}
			changes = append(changes, put)
		default:
			return nil, nil, errors.Errorf("change %d: op must be put or delete", number)
		}
	}
	return changes, faults, nil
}

// delete serves DELETE /v1/resources/{kind}/{name}. The query value base is the
// revision that the resource must have; id makes a repetition idempotent.
func (h *handler) delete(w http.ResponseWriter, r *http.Request) {
	kinds, ok := parseKinds(w, r.PathValue("kind"))
	if !ok {
		return
	}
	query := r.URL.Query()
	base, err := strconv.ParseUint(query.Get("base"), 10, 64)
	if err != nil {
		writeBadRequest(w, "the query value base is missing or no revision")
		return
	}
	id := uuid.Nil
	if text := query.Get("id"); text != "" {
		if id, err = uuid.Parse(text); err != nil {
			writeBadRequest(w, "the query value id is no UUID")
			return
		}
	}
	target := resource.ID{Kind: kinds[0], Name: r.PathValue("name")}
	h.submit(w, r, id, 0, []config.Change{config.Delete(target, base)})
}

// submit appends the changes to the shared log as one record and answers with the
// decision that was read back. If there is none within ApplyTimeout, the answer says
// that the decision is not known yet.
func (h *handler) submit(w http.ResponseWriter, r *http.Request, id uuid.UUID, seen uint64, changes []config.Change) {
	if id == uuid.Nil {
		id = uuid.New()
	}
	if seen == 0 {
		seen = h.state.Position()
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.ApplyTimeout)
	defer cancel()
	outcome, err := h.Follower.Submit(ctx, config.NewRecord(id, seen, changes...))
	switch {
	case errors.Is(err, config.ErrNotKnown):
		writeNotKnown(w, id, h.Follower.Status().Fault)
	case errors.Is(err, config.ErrIdentifierReused):
		writeProblem(w, api.Problem{Type: api.ProblemRefused, Title: "Refused", Status: http.StatusConflict, Detail: err.Error(), ID: &id})
	case err != nil:
		writeBadRequest(w, err.Error())
	case !outcome.Accepted():
		writeRefused(w, id, outcome.Refusal)
	default:
		h.Logger.Info("configuration changed", zap.Stringer("id", id), zap.Uint64("revision", outcome.Offset), zap.Int("changes", len(changes)))
		writeJSON(w, api.ApplyResponse{ID: id, Revision: outcome.Offset})
	}
}

// writeRefused answers that the change was refused: with status 409 if another revision
// is in force, else with 422.
func writeRefused(w http.ResponseWriter, id uuid.UUID, refusal *config.Refusal) {
	status := http.StatusUnprocessableEntity
	if refusal.Reason == config.ReasonConflict {
		status = http.StatusConflict
	}
	writeProblem(w, api.Problem{Type: api.ProblemRefused, Title: "Refused", Status: status, Detail: refusal.Error(), ID: &id, Refusal: refusal})
}

// writeNotKnown answers that the decision is not known yet, and why if the shared log
// can't be read.
func writeNotKnown(w http.ResponseWriter, id uuid.UUID, fault string) {
	detail := "the change may still be accepted; repeat it with the same id to learn the decision"
	if fault != "" {
		detail += " (the log can't be read: " + fault + ")"
	}
	w.Header().Set("Retry-After", "1")
	writeProblem(w, api.Problem{Type: api.ProblemNotKnown, Title: "Not known yet", Status: http.StatusGatewayTimeout, Detail: detail, ID: &id})
}

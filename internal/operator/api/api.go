// Package api defines the paths and messages of the operators' HTTP API. Package
// operator serves it and package client calls it.
package api

import (
	"encoding/json"

	"fireflyfield/internal/config"
	"fireflyfield/internal/resource"

	"github.com/google/uuid"
)

// Paths of the operators' listener.
const (
	PathResources = "/v1/resources"
	PathApply     = "/v1/apply"
	PathWatch     = "/v1/watch"
	PathStatus    = "/v1/status"
	PathHealthz   = "/healthz"
	PathReadyz    = "/readyz"
	PathMetrics   = "/metrics"
)

// The content types of requests and responses.
const (
	ContentJSON      = "application/json"
	ContentJSONLines = "application/jsonl"
	ContentProblem   = "application/problem+json"
)

// The operations of a change.
const (
	OpPut    = "put"
	OpDelete = "delete"
)

// Change is one change of an ApplyRequest: a put or a delete of one resource.
type Change struct {
	Op string `json:"op"`
	// Base is the revision that the resource must have for the change to be accepted;
	// 0 if the resource must not exist.
	Base uint64 `json:"base"`
	// Resource is the document of a put.
	Resource json.RawMessage `json:"resource,omitempty"`
	// Kind and Name identify the resource of a delete.
	Kind resource.Kind `json:"kind,omitempty"`
	Name string        `json:"name,omitempty"`
}

// ApplyRequest changes one or more resources, all of them or none.
type ApplyRequest struct {
	// ID identifies the request, so that a repetition takes effect only once. The VM
	// generates one if it is missing.
	ID uuid.UUID `json:"id"`
	// Seen is the revision of the list on which the author based the changes. If it
	// is 0, the VM uses the position of its own configuration.
	Seen    uint64   `json:"seen,omitempty"`
	Changes []Change `json:"changes"`
}

// ApplyResponse reports an accepted apply.
type ApplyResponse struct {
	ID uuid.UUID `json:"id"`
	// Revision is the new revision of every changed resource.
	Revision uint64 `json:"revision"`
}

// List holds one resource, the resources of one kind, or all resources.
type List struct {
	// Revision is the position of the configuration of the VM that answered.
	Revision uint64              `json:"revision"`
	Items    []resource.Resource `json:"items"`
}

// EventType is the type of a line of a watch.
type EventType string

// The event types.
const (
	// EventPut carries a resource that was created or replaced.
	EventPut EventType = "put"
	// EventDelete names a resource that was deleted.
	EventDelete EventType = "delete"
	// EventReset means that all selected resources follow as puts. Resources that do
	// not follow no longer exist.
	EventReset EventType = "reset"
	// EventPosition means that every event up to the revision was sent. A watch can be
	// resumed from this revision.
	EventPosition EventType = "position"
)

// Event is one line of a watch.
type Event struct {
	Type     EventType          `json:"type"`
	Revision uint64             `json:"revision"`
	Kind     resource.Kind      `json:"kind,omitempty"`
	Name     string             `json:"name,omitempty"`
	Resource *resource.Resource `json:"resource,omitempty"`
}

// The types of problem documents, by which clients distinguish errors.
const (
	ProblemPrefix       = "urn:fireflyfield:problem:"
	ProblemNotKnown     = ProblemPrefix + "not-known-yet"
	ProblemRefused      = ProblemPrefix + "refused"
	ProblemInvalid      = ProblemPrefix + "invalid"
	ProblemUnauthorized = ProblemPrefix + "unauthorized"
	ProblemNotFound     = ProblemPrefix + "not-found"
	ProblemUnavailable  = ProblemPrefix + "unavailable"
)

// Problem is an RFC 9457 problem document, the body of every error response.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// ID is the identifier of the apply or delete request; see ApplyRequest.ID.
	ID *uuid.UUID `json:"id,omitempty"`
	// Refusal is set if the record was appended to the shared log and then refused
	// when it was read back.
	Refusal *config.Refusal `json:"refusal,omitempty"`
	// Faults lists every fault of the documents of an apply request.
	Faults []Fault `json:"faults,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string {
	text := p.Title
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	for _, fault := range p.Faults {
		text += "\n" + fault.Error()
	}
	return text
}

// Fault is one fault of one document of an apply request.
type Fault struct {
	// Document is the number of the document in the request, from 1.
	Document int    `json:"document,omitempty"`
	Path     string `json:"path,omitempty"`
	Reason   string `json:"reason"`
}

// Error implements error.
func (f Fault) Error() string {
	return resource.Fault{Document: f.Document, Path: f.Path, Reason: f.Reason}.Error()
}

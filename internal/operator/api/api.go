// Package api holds the messages between the operators' listener and its client.
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

// Content types.
const (
	ContentJSON    = "application/json"
	ContentLines   = "application/jsonl"
	ContentProblem = "application/problem+json"
)

// The operations of a change.
const (
	OpPut    = "put"
	OpDelete = "delete"
)

// Change is one change of an apply.
type Change struct {
	Op string `json:"op"`
	// Base is the revision that the resource must have; 0 if it must not exist.
	Base uint64 `json:"base"`
	// Resource is the document of a put.
	Resource json.RawMessage `json:"resource,omitempty"`
	// Kind and Name identify the resource of a delete.
	Kind resource.Kind `json:"kind,omitempty"`
	Name string        `json:"name,omitempty"`
}

// ApplyRequest changes several resources as a whole.
type ApplyRequest struct {
	// ID identifies the request, so that repeating it is harmless. The VM makes one
	// if it is missing.
	ID uuid.UUID `json:"id"`
	// Seen is the revision of the list that the author read; the VM takes its own if
	// it is 0.
	Seen    uint64   `json:"seen,omitempty"`
	Changes []Change `json:"changes"`
}

// ApplyResponse reports an accepted apply.
type ApplyResponse struct {
	ID uuid.UUID `json:"id"`
	// Revision is the new revision of every changed resource.
	Revision uint64 `json:"revision"`
}

// List is the resources of one or all kinds.
type List struct {
	// Revision is the position of the VM that answered.
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
	// EventReset means that all resources follow, and that others no longer exist.
	EventReset EventType = "reset"
	// EventPosition means that every event up to the revision was sent. A watch
	// resumes from there.
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

// The problem types that a client tells apart.
const (
	ProblemPrefix       = "urn:fireflyfield:problem:"
	ProblemNotKnown     = ProblemPrefix + "not-known-yet"
	ProblemRefused      = ProblemPrefix + "refused"
	ProblemInvalid      = ProblemPrefix + "invalid"
	ProblemUnauthorized = ProblemPrefix + "unauthorized"
	ProblemNotFound     = ProblemPrefix + "not-found"
	ProblemUnavailable  = ProblemPrefix + "unavailable"
)

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// ID is the identifier of the apply.
	ID *uuid.UUID `json:"id,omitempty"`
	// Refusal is set if replay refused the record.
	Refusal *config.Refusal `json:"refusal,omitempty"`
	// Faults lists every fault of the documents.
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

// Fault is one fault of one document.
type Fault struct {
	// Document counts from 1.
	Document int    `json:"document,omitempty"`
	Path     string `json:"path,omitempty"`
	Reason   string `json:"reason"`
}

// Error implements error.
func (f Fault) Error() string {
	return resource.Fault{Document: f.Document, Path: f.Path, Reason: f.Reason}.Error()
}

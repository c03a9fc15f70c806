package operator

import (
	"encoding/json"
	"net/http"

	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/resource"
)

func writeJSON(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		writeProblem(w, api.Problem{Type: api.ProblemUnavailable, Title: "Response can't be encoded", Status: http.StatusInternalServerError})
		return
	}
	w.Header().Set("Content-Type", api.ContentJSON)
	_, _ = w.Write(append(data, '\n'))
}

func writeProblem(w http.ResponseWriter, problem api.Problem) {
	data, err := json.Marshal(problem)
	if err != nil {
		http.Error(w, problem.Title, problem.Status)
		return
	}
	w.Header().Set("Content-Type", api.ContentProblem)
	w.WriteHeader(problem.Status)
	_, _ = w.Write(append(data, '\n'))
}

// writeUnavailable answers 503; clients then try another VM.
func writeUnavailable(w http.ResponseWriter, detail string) {
	w.Header().Set("Retry-After", "1")
	writeProblem(w, api.Problem{Type: api.ProblemUnavailable, Title: "Not available", Status: http.StatusServiceUnavailable, Detail: detail})
}

func writeBadRequest(w http.ResponseWriter, detail string) {
	writeProblem(w, api.Problem{Type: api.ProblemInvalid, Title: "Invalid request", Status: http.StatusBadRequest, Detail: detail})
}

// writeInvalidDocuments answers 422 with every fault of the documents.
func writeInvalidDocuments(w http.ResponseWriter, faults resource.Faults) {
	problem := api.Problem{Type: api.ProblemInvalid, Title: "Invalid documents", Status: http.StatusUnprocessableEntity}
	for _, fault := range faults {
		problem.Faults = append(problem.Faults, api.Fault{Document: fault.Document, Path: fault.Path, Reason: fault.Reason})
	}
	writeProblem(w, problem)
}

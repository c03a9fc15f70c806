package operator

import (
	"net/http"
	"slices"
	"time"

	"fireflyfield/internal/config"
	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/resource"
)

// list serves the resources of one kind or of all kinds with their status.
func (h *handler) list(w http.ResponseWriter, r *http.Request) {
	kinds, ok := parseKinds(w, r.PathValue("kind"))
	if !ok {
		return
	}
	view := h.state.View()
	overview := h.overview()
	list := api.List{Revision: view.Revision(), Items: []resource.Resource{}}
	for _, kind := range kinds {
		for _, item := range view.List(kind) {
			list.Items = append(list.Items, withStatus(item, view, overview))
		}
	}
	writeJSON(w, list)
}

// parseKinds returns the kind as a list of one, or every kind for an empty string.
// It answers the request itself if it returns false.
func parseKinds(w http.ResponseWriter, kind string) ([]resource.Kind, bool) {
	if kind == "" {
		return resource.Kinds, true
	}
	if !slices.Contains(resource.Kinds, resource.Kind(kind)) {
		writeBadRequest(w, "unknown kind; the kinds are FailureDomain, Service, Workspace, CallerKey, Rate, Drain")
		return nil, false
	}
	return []resource.Kind{resource.Kind(kind)}, true
}

// get serves one resource with its status.
func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	if _, ok := parseKinds(w, r.PathValue("kind")); !ok {
		return
	}
	id := resource.ID{Kind: resource.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	view := h.state.View()
	item, ok := view.Lookup(id)
	if !ok {
		writeProblem(w, api.Problem{Type: api.ProblemNotFound, Title: "Not found", Status: http.StatusNotFound, Detail: id.String() + " does not exist"})
		return
	}
	writeJSON(w, api.List{Revision: view.Revision(), Items: []resource.Resource{withStatus(item, view, h.overview())}})
}

// status serves the overview.
func (h *handler) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, h.overview())
}

// overview returns the overview, completed by the state of the configuration.
func (h *handler) overview() api.Overview {
	overview := h.Status.Overview()
	fillConfigStatus(&overview, h.Follower.Status())
	return overview
}

// fillConfigStatus sets the fields of the overview that describe the VM's
// configuration.
func fillConfigStatus(overview *api.Overview, status config.FollowerStatus) {
	overview.Revision = status.Position
	overview.Fault = status.Fault
	overview.ConfirmedAgeMillis = -1
	if !status.ConfirmedAt.IsZero() {
		overview.ConfirmedAgeMillis = time.Since(status.ConfirmedAt).Milliseconds()
	}
}

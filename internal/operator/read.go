package operator

import (
	"net/http"
	"slices"
	"time"

	"fireflyfield/internal/config"
	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/resource"
)

func (h *handler) list(w http.ResponseWriter, r *http.Request) {
	kinds, ok := pathKinds(w, r.PathValue("kind"))
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

// pathKinds returns the kind, or every kind for an empty string.
func pathKinds(w http.ResponseWriter, kind string) ([]resource.Kind, bool) {
	if kind == "" {
		return resource.Kinds, true
	}
	if !slices.Contains(resource.Kinds, resource.Kind(kind)) {
		badRequest(w, "unknown kind; the kinds are FailureDomain, Service, Workspace, CallerKey, Rate, Drain")
		return nil, false
	}
	return []resource.Kind{resource.Kind(kind)}, true
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	if _, ok := pathKinds(w, r.PathValue("kind")); !ok {
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

func (h *handler) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, h.overview())
}

func (h *handler) overview() api.Overview {
	overview := h.Status.Overview()
	fillFollower(&overview, h.Follower.Status())
	return overview
}

func fillFollower(overview *api.Overview, status config.FollowerStatus) {
	overview.Revision = status.Position
	overview.Fault = status.Fault
	overview.ConfirmedAgeMillis = -1
	if !status.ConfirmedAt.IsZero() {
		overview.ConfirmedAgeMillis = time.Since(status.ConfirmedAt).Milliseconds()
	}
}

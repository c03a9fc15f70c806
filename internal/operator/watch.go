package operator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"fireflyfield/internal/config"
	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/resource"
)

const (
	// maxWatches bounds the concurrent watches of one VM.
	maxWatches = 256
	// WatchInterval is the longest time between two lines of a watch. It has to stay
	// below the time after which the client considers a silent VM failed.
	WatchInterval = 5 * time.Second
	// watchWriteTimeout bounds the writing of pending lines. It ends a watch whose
	// client does not read.
	watchWriteTimeout = 10 * time.Second
)

// watcher writes the event lines of one watch.
type watcher struct {
	state *config.State
	kinds []resource.Kind
	name  string
	// lastSent is the revision up to which events were sent, at first the one from
	// which the client resumes.
	lastSent uint64
	// clientHasState is false until the client has a state to which events can be added.
	clientHasState bool
	control        *http.ResponseController
	encoder        *json.Encoder
}

// watch streams events as JSON lines until the client disconnects, the VM stops or a write
// fails.
func (h *handler) watch(w http.ResponseWriter, r *http.Request) {
	watch, ok := h.newWatcher(w, r)
	if !ok {
		return
	}
	select {
	case h.watchSlots <- struct{}{}:
		defer func() { <-h.watchSlots }()
	default:
		writeUnavailable(w, "too many watches on this VM")
		return
	}
	// The next request on the connection must not inherit the deadline.
	defer func() { _ = watch.control.SetWriteDeadline(time.Time{}) }()
	w.Header().Set("Content-Type", api.ContentJSONLines)
	ticker := time.NewTicker(WatchInterval)
	defer ticker.Stop()
	for {
		changed := h.state.Changed()
		if watch.sendPending() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-h.Stopping:
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// newWatcher parses the query. It answers the request itself if it returns false.
func (h *handler) newWatcher(w http.ResponseWriter, r *http.Request) (*watcher, bool) {
	query := r.URL.Query()
	kinds, ok := parseKinds(w, query.Get("kind"))
	if !ok {
		return nil, false
	}
	watch := &watcher{state: h.state, kinds: kinds, name: query.Get("name")}
	watch.control = http.NewResponseController(w)
	watch.encoder = json.NewEncoder(w)
	if text := query.Get("from"); text != "" {
		from, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeBadRequest(w, "the query value from is no revision")
			return nil, false
		}
		watch.lastSent = from
		watch.clientHasState = true
	}
	return watch, true
}

// sendPending writes the events after lastSent and then the position. While the VM
// is behind the revision from which the client resumes, it writes no older events.
func (w *watcher) sendPending() error {
	if err := w.control.SetWriteDeadline(time.Now().Add(watchWriteTimeout)); err != nil {
		return err
	}
	events, position, complete := w.state.Since(w.lastSent)
	if !w.clientHasState || !complete {
		return w.sendAll()
	}
	for _, event := range events {
		if err := w.sendEvent(event); err != nil {
			return err
		}
	}
	return w.sendPosition(position)
}

// sendAll writes a reset and then all matching resources. After the first call it is
// called only if the history no longer has all events after lastSent.
func (w *watcher) sendAll() error {
	view := w.state.View()
	if view.Revision() < w.lastSent {
		return w.sendPosition(w.lastSent)
	}
	if err := w.encoder.Encode(api.Event{Type: api.EventReset, Revision: view.Revision()}); err != nil {
		return err
	}
	for _, kind := range w.kinds {
		for _, r := range view.List(kind) {
			if err := w.sendEvent(config.Event{Revision: r.Metadata.Revision, Op: config.OpPut, ID: r.ID(), Resource: r}); err != nil {
				return err
			}
		}
	}
	w.clientHasState = true
	return w.sendPosition(view.Revision())
}

// sendEvent writes the event if the watch selects its resource.
func (w *watcher) sendEvent(event config.Event) error {
	if !w.matches(event.ID) {
		return nil
	}
	line := api.Event{Type: api.EventDelete, Revision: event.Revision, Kind: event.ID.Kind, Name: event.ID.Name}
	if event.Op == config.OpPut {
		line.Type = api.EventPut
		line.Resource = &event.Resource
	}
	return w.encoder.Encode(line)
}

// sendPosition writes the position, which never goes back, and flushes all lines.
func (w *watcher) sendPosition(position uint64) error {
	w.lastSent = max(w.lastSent, position)
	if err := w.encoder.Encode(api.Event{Type: api.EventPosition, Revision: w.lastSent}); err != nil {
		return err
	}
	return w.control.Flush()
}

// matches reports whether the watch selects the resource.
func (w *watcher) matches(id resource.ID) bool {
	if w.name != "" && w.name != id.Name {
		return false
	}
	for _, kind := range w.kinds {
		if kind == id.Kind {
			return true
		}
	}
	return false
}

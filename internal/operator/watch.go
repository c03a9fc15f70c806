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
	// maxWatches bounds the watches of one VM.
	maxWatches = 256
	// WatchInterval is the longest time between two lines of a watch.
	WatchInterval = 5 * time.Second
	// watchWriteTimeout ends a watch whose client does not read.
	watchWriteTimeout = 10 * time.Second
)

// watcher writes one watch.
type watcher struct {
	state   *config.State
	kinds   []resource.Kind
	name    string
	sent    uint64
	resume  bool
	control *http.ResponseController
	encoder *json.Encoder
}

func (h *handler) watch(w http.ResponseWriter, r *http.Request) {
	watch, ok := h.newWatcher(w, r)
	if !ok {
		return
	}
	select {
	case h.watches <- struct{}{}:
		defer func() { <-h.watches }()
	default:
		unavailable(w, "too many watches on this VM")
		return
	}
	// The next request on the connection must not inherit the deadline.
	defer func() { _ = watch.control.SetWriteDeadline(time.Time{}) }()
	w.Header().Set("Content-Type", api.ContentLines)
	ticker := time.NewTicker(WatchInterval)
	defer ticker.Stop()
	for {
		changed := h.state.Changed()
		if watch.step() != nil {
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

func (h *handler) newWatcher(w http.ResponseWriter, r *http.Request) (*watcher, bool) {
	query := r.URL.Query()
	kinds, ok := pathKinds(w, query.Get("kind"))
	if !ok {
		return nil, false
	}
	watch := &watcher{state: h.state, kinds: kinds, name: query.Get("name")}
	watch.control = http.NewResponseController(w)
	watch.encoder = json.NewEncoder(w)
	if text := query.Get("from"); text != "" {
		from, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			badRequest(w, "the query value from is no revision")
			return nil, false
		}
		watch.sent = from
		watch.resume = true
	}
	return watch, true
}

// step writes what happened since the last step and then the position. While the
// VM is behind the client's revision, nothing older is written.
func (w *watcher) step() error {
	if err := w.control.SetWriteDeadline(time.Now().Add(watchWriteTimeout)); err != nil {
		return err
	}
	events, position, complete := w.state.Since(w.sent)
	if !w.resume || !complete {
		return w.reset()
	}
	for _, event := range events {
		if err := w.write(event); err != nil {
			return err
		}
	}
	return w.position(position)
}

// reset writes the whole state. It is called again only for a position that is no
// longer in the history.
func (w *watcher) reset() error {
	view := w.state.View()
	if view.Revision() < w.sent {
		return w.position(w.sent)
	}
	if err := w.encoder.Encode(api.Event{Type: api.EventReset, Revision: view.Revision()}); err != nil {
		return err
	}
	for _, kind := range w.kinds {
		for _, r := range view.List(kind) {
			if err := w.write(config.Event{Revision: r.Metadata.Revision, Op: config.OpPut, ID: r.ID(), Resource: r}); err != nil {
				return err
			}
		}
	}
	w.resume = true
	return w.position(view.Revision())
}

func (w *watcher) write(event config.Event) error {
	if !w.wants(event.ID) {
		return nil
	}
	line := api.Event{Type: api.EventDelete, Revision: event.Revision, Kind: event.ID.Kind, Name: event.ID.Name}
	if event.Op == config.OpPut {
		line.Type = api.EventPut
		line.Resource = &event.Resource
	}
	return w.encoder.Encode(line)
}

func (w *watcher) position(position uint64) error {
	w.sent = max(w.sent, position)
	if err := w.encoder.Encode(api.Event{Type: api.EventPosition, Revision: w.sent}); err != nil {
		return err
	}
	return w.control.Flush()
}

func (w *watcher) wants(id resource.ID) bool {
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

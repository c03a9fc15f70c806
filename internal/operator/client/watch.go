package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/resource"

	"github.com/go-faster/errors"
)

const (
	// watchIdleTimeout is the time without a line after which the VM is considered
	// failed. A VM writes a line at least every 5 s.
	watchIdleTimeout = 12 * time.Second
	// watchRetryDelay is the wait before a watch continues at the next VM.
	watchRetryDelay = 200 * time.Millisecond
)

// WatchOptions selects the resources to watch and the revision to start from.
type WatchOptions struct {
	// Kind and Name select resources; an empty one matches all.
	Kind resource.Kind
	Name string
	// From is the revision after which events are sent. If it is nil, the watch starts
	// with the whole state.
	From *uint64
}

// watch is the state of one watch across its connections to VMs. options.From is
// advanced to the last position received.
type watch struct {
	client  *Client
	options WatchOptions
	handle  func(api.Event) error
	// delivered maps resources to the revisions of the events that were delivered after
	// options.From. The next VM sends these events again.
	delivered map[resource.ID]uint64
}

// handlerError marks an error that the handle function returned, as opposed to an
// error of the connection.
type handlerError struct{ error }

// Watch calls handle for each event until the context ends, handle returns an
// error, or a VM refuses the watch; it returns that error. When a VM fails, the watch
// continues at the next one from the last position. Each event is delivered once,
// except that after an EventReset the whole state is delivered again.
func (c *Client) Watch(ctx context.Context, options WatchOptions, handle func(api.Event) error) error {
	w := c.newWatch(options, handle)
	for {
		err := w.readEvents(ctx)
		var fromHandler handlerError
		if errors.As(err, &fromHandler) {
			return fromHandler.error
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !canTryNextVM(err) {
			return err
		}
		c.advance()
		if !clock.Sleep(ctx, watchRetryDelay) {
			return ctx.Err()
		}
	}
}

func (c *Client) newWatch(options WatchOptions, handle func(api.Event) error) *watch {
	return &watch{client: c, options: options, handle: handle, delivered: make(map[resource.ID]uint64)}
}

// path returns the path and query with which a connection resumes the watch.
func (w *watch) path() string {
	query := url.Values{}
	if w.options.Kind != "" {
		query.Set("kind", string(w.options.Kind))
	}
	if w.options.Name != "" {
		query.Set("name", w.options.Name)
	}
	if w.options.From != nil {
		query.Set("from", strconv.FormatUint(*w.options.From, 10))
	}
	return api.PathWatch + "?" + query.Encode()
}

// readEvents connects to the current VM and delivers its events until the connection
// fails or no line arrives within watchIdleTimeout.
func (w *watch) readEvents(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(watchIdleTimeout, cancel)
	defer idle.Stop()
	response, err := w.client.send(ctx, http.MethodGet, w.path(), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	for {
		var event api.Event
		if err := decoder.Decode(&event); err != nil {
			return errors.Wrap(err, "read watch stream")
		}
		idle.Reset(watchIdleTimeout)
		if err := w.deliver(event); err != nil {
			return handlerError{err}
		}
	}
}

// deliver calls handle with the event unless it was delivered before.
func (w *watch) deliver(event api.Event) error {
	id := resource.ID{Kind: event.Kind, Name: event.Name}
	switch event.Type {
	case api.EventReset:
		clear(w.delivered)
	case api.EventPosition:
		position := event.Revision
		if w.options.From != nil && *w.options.From >= position {
			return nil
		}
		clear(w.delivered)
		w.options.From = &position
	default:
		if event.Revision <= w.delivered[id] {
			return nil
		}
		w.delivered[id] = event.Revision
	}
	return w.handle(event)
}

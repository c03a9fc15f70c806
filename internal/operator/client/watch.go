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
	// watchIdleTimeout is the time without a line after which the VM counts as lost.
	// A VM writes a line at least every 5 s.
	watchIdleTimeout = 12 * time.Second
	watchRetryDelay  = 200 * time.Millisecond
)

// WatchOptions selects what to watch.
type WatchOptions struct {
	// Kind and Name are empty for all.
	Kind resource.Kind
	Name string
	// From is the revision after which events are wanted; nil for the whole state
	// first.
	From *uint64
}

// watch is one watch over all its connections.
type watch struct {
	client  *Client
	options WatchOptions
	handle  func(api.Event) error
	// seen holds the revisions of the events after options.From, which the next VM
	// sends again.
	seen map[resource.ID]uint64
}

// handlerError marks an error of the caller's function.
type handlerError struct{ error }

// Watch calls handle for each event until the context ends, handle returns an
// error, or a VM refuses the watch. When a VM is lost, it continues at the next
// one from the last position; each event is delivered once, except after
// EventReset.
func (c *Client) Watch(ctx context.Context, options WatchOptions, handle func(api.Event) error) error {
	w := c.newWatch(options, handle)
	for {
		err := w.connect(ctx)
		var failed handlerError
		if errors.As(err, &failed) {
			return failed.error
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !tryNext(err) {
			return err
		}
		c.next()
		if !clock.Sleep(ctx, watchRetryDelay) {
			return ctx.Err()
		}
	}
}

func (c *Client) newWatch(options WatchOptions, handle func(api.Event) error) *watch {
	return &watch{client: c, options: options, handle: handle, seen: make(map[resource.ID]uint64)}
}

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

// connect reads events from one VM until it is lost.
func (w *watch) connect(ctx context.Context) error {
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
			return errors.Wrap(err, "read watch")
		}
		idle.Reset(watchIdleTimeout)
		if err := w.deliver(event); err != nil {
			return handlerError{err}
		}
	}
}

// deliver passes the event on unless it was delivered before.
func (w *watch) deliver(event api.Event) error {
	id := resource.ID{Kind: event.Kind, Name: event.Name}
	switch event.Type {
	case api.EventReset:
		clear(w.seen)
	case api.EventPosition:
		position := event.Revision
		if w.options.From != nil && *w.options.From >= position {
			return nil
		}
		clear(w.seen)
		w.options.From = &position
	default:
		if event.Revision <= w.seen[id] {
			return nil
		}
		w.seen[id] = event.Revision
	}
	return w.handle(event)
}

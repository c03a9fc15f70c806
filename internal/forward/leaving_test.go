package forward

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/directory"
	"fireflyfield/internal/sharedlog"
	"fireflyfield/internal/upstream"
)

// A notice of leaving must count although its backend server was unlisted and listed again
// while the request was under way: the notice marked only the former state, and the server
// received all further requests.
func TestNoticeAfterRelisting(t *testing.T) {
	is := is.New(t)
	m := newNoticeModel()
	m.targets("s")
	before := m.byID["s1"]
	before.ownInFlight++
	listed := m.view
	m.view = &directory.View{Config: listed.Config, Backends: map[string]directory.Backend{"s2": listed.Backends["s2"]}}
	m.targets("s")
	m.view = listed
	m.targets("s")
	m.endRequest(before, m.service("s"), func(now time.Duration) {
		m.applyNotices(before, &ResponseHeaders{Leaving: true}, now, now)
	})
	is.Equal(m.targets("s")["s1"], 0)
}

// A request that waits for a permit of an owner must not get it once the owner drains or its
// failure domain is evacuated: it reached the owner up to a third of its time later.
func TestQueuedRequestAtDrainingOwner(t *testing.T) {
	for name, change := range map[string]func(v *directory.View, b *directory.Backend){
		"draining":  func(_ *directory.View, b *directory.Backend) { b.Draining = true },
		"evacuated": func(v *directory.View, _ *directory.Backend) { v.Evacuated = map[string]bool{"d": true} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newOwnerModel(130) // one permit for this VM
			_, b, _ := m.acquire(1, time.Second)
			queued, _, reason := m.acquire(1, time.Second)
			is.Equal(reason, pickQueued)
			owner := m.view.Backends["b"]
			view := &directory.View{Config: m.view.Config, Backends: map[string]directory.Backend{}}
			change(view, &owner)
			view.Backends["b"] = owner
			m.view = view
			_, _, reason = m.acquire(1, time.Second)
			is.Equal(reason, pickNoServer)
			m.finishRequest(b)
			<-queued.ready
			is.True(!queued.hasPermit)
		})
	}
}

// A request whose backend server leaves while the request connects must not be sent to it:
// connecting takes up to 350 ms, which came on top of the age of the catalogue.
func TestServerLeavesBeforeSend(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	f := newTestForwarder(t, true, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		respondSigned(w, r)
	})
	view := f.Directory.View()
	now := clock.System{}.Now()
	rs := &requestState{
		request: &Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}, Received: now},
		view:    view, route: &view.Config.Routes[0], service: view.Config.Service("s"), deadline: now + time.Second,
	}
	b, reason := f.Servers.pick(view, rs.service, nil, 100*time.Millisecond, time.Second)
	is.Equal(reason, pickOK)
	f.Directory.Followers()[1].Deliver(sharedlog.Batch{Next: 1}, directory.BatchInfo{Snapshot: true, ConfirmedAt: now})
	results := make(chan sendResult, 1)
	f.send(t.Context(), rs, b, false, results)
	is.Equal((<-results).result.Outcome, upstream.OutcomeNotSent)
	is.Equal(runs.Load(), int64(0))
}

// A request that has loaded an older view must not undo a newer one: the state of a backend
// server that the newer view lists was dropped, and with it the spacing of the requests while
// it is cold.
func TestOlderViewIsIgnored(t *testing.T) {
	is := is.New(t)
	m := newNoticeModel()
	directoryViews := viewsWithAndWithout(t)
	older, newer := directoryViews[0], directoryViews[1]
	m.view = newer
	m.pick(newer, m.service("s"), nil, 100*time.Millisecond, time.Second) //nolint:errcheck // only the view matters
	state := m.byID["late"]
	is.True(state != nil)
	m.pick(older, m.service("s"), nil, 100*time.Millisecond, time.Second) //nolint:errcheck // only the view matters
	is.Equal(m.byID["late"], state)
}

// viewsWithAndWithout returns two consecutive views of a directory, of which the second lists
// one backend server more.
func viewsWithAndWithout(t *testing.T) [2]*directory.View {
	t.Helper()
	f := newTestForwarder(t, true, respondSigned)
	older := f.Directory.View()
	catalogue := f.Directory.Followers()[1]
	catalogue.Deliver(sharedlog.Batch{
		Records: []sharedlog.Record{{Key: "b0", Value: []byte("127.0.0.1:1")}, {Key: "late", Value: []byte("127.0.0.1:2")}}, Next: 2,
	}, directory.BatchInfo{Snapshot: true, ConfirmedAt: clock.System{}.Now()})
	return [2]*directory.View{older, f.Directory.View()}
}

package operator

import (
	"context"
	"testing"
	"testing/synctest"

	"fireflyfield/internal/operator/api"
	"fireflyfield/internal/operator/client"
	"fireflyfield/internal/platform/platformtest"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// errStopWatch is returned by event handlers to end a watch.
var errStopWatch = errors.New("test has received enough events")

// Guards against events that are lost or repeated when the VM that serves a watch
// fails and the client continues at another VM.
func TestWatchContinuesAtNextVM(t *testing.T) {
	withFakeClock(t, func(f *fixture) {
		is := is.New(f.t)
		first, second := f.startVM("vm1"), f.startVM("vm2")
		writer := f.client(second)
		_, err := writer.Apply(f.ctx, putDomain(1, "a", 0))
		is.NoErr(err)
		synctest.Wait()

		var events []api.Event
		err = f.client(first, second).Watch(f.ctx, client.WatchOptions{}, func(event api.Event) error {
			switch event.Type {
			case api.EventReset:
				is.Equal(len(events), 0) // only at the start
			case api.EventPosition:
				return applyNextChange(f.ctx, event.Revision, first, writer)
			default:
				events = append(events, event)
			}
			return nil
		})
		is.Equal(err, errStopWatch)
		var got []string
		for _, event := range events {
			got = append(got, string(event.Type)+" "+event.Name)
		}
		is.Equal(got, []string{"put a", "put b", "put c", "delete b"})
	})
}

// applyNextChange applies the change that follows the position and stops the first
// VM before the third change.
func applyNextChange(ctx context.Context, position uint64, first testVM, writer *client.Client) error {
	requests := []api.ApplyRequest{putDomain(2, "b", 0), putDomain(3, "c", 0), deleteDomain(4, "b", 2)}
	if position > uint64(len(requests)) {
		return errStopWatch
	}
	if position == 2 {
		first.close()
	}
	_, err := writer.Apply(ctx, requests[position-1])
	return err
}

// Guards against a resumed watch that repeats events before its revision, and
// against one that skips changes because its VM no longer has them in its history.
func TestWatchResumesFromRevision(t *testing.T) {
	withFakeClock(t, func(f *fixture) {
		is := is.New(f.t)
		vm := f.startVM("vm1")
		c := f.client(vm)
		for n, name := range []string{"a", "b", "c"} {
			_, err := c.Apply(f.ctx, putDomain(byte(n+1), name, 0))
			is.NoErr(err)
		}
		collect := func(from uint64) []string {
			var got []string
			err := c.Watch(f.ctx, client.WatchOptions{From: &from}, func(event api.Event) error {
				if event.Type == api.EventPosition {
					return errStopWatch
				}
				got = append(got, string(event.Type)+" "+event.Name)
				return nil
			})
			is.Equal(err, errStopWatch)
			return got
		}
		is.Equal(collect(1), []string{"put b", "put c"})

		_, data, err := vm.follower.State().Snapshot()
		is.NoErr(err)
		restored := f.startVMOn("vm2", platformtest.NewLog())
		is.NoErr(restored.follower.State().Restore(data))
		c = f.client(restored)
		is.Equal(collect(1), []string{"reset ", "put a", "put b", "put c"})
	})
}

// Guards against a watch or a call that waits forever for a VM that accepts
// connections but never answers.
func TestUnresponsiveVM(t *testing.T) {
	withFakeClock(t, func(f *fixture) {
		is := is.New(f.t)
		f.startUnresponsive("unresponsive")
		live := f.startVM("vm1")
		_, err := f.client(live).Apply(f.ctx, putDomain(1, "a", 0))
		is.NoErr(err)
		c := f.client(testVM{name: "unresponsive"}, live)
		list, err := c.List(f.ctx, "")
		is.NoErr(err)
		is.Equal(len(list.Items), 1)
		c = f.client(testVM{name: "unresponsive"}, live)
		err = c.Watch(f.ctx, client.WatchOptions{}, func(event api.Event) error {
			if event.Type == api.EventPut {
				return errStopWatch
			}
			return nil
		})
		is.Equal(err, errStopWatch)
	})
}

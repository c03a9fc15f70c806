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

var errEnough = errors.New("enough")

// Guards against events that are lost or repeated when the VM of a watch is lost.
func TestWatchContinuesAtNextVM(t *testing.T) {
	inBubble(t, func(f *fixture) {
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
				return reactToPosition(f.ctx, event.Revision, first, writer)
			default:
				events = append(events, event)
			}
			return nil
		})
		is.Equal(err, errEnough)
		var got []string
		for _, event := range events {
			got = append(got, string(event.Type)+" "+event.Name)
		}
		is.Equal(got, []string{"put a", "put b", "put c", "delete b"})
	})
}

// reactToPosition makes the next change, and ends the first VM before the third.
func reactToPosition(ctx context.Context, position uint64, first testVM, writer *client.Client) error {
	requests := []api.ApplyRequest{putDomain(2, "b", 0), putDomain(3, "c", 0), deleteDomain(4, "b", 2)}
	if position > uint64(len(requests)) {
		return errEnough
	}
	if position == 2 {
		first.lose()
	}
	_, err := writer.Apply(ctx, requests[position-1])
	return err
}

// Guards against a watch that resumes with older events than it has, and against
// one that skips changes which its VM no longer has in its history.
func TestWatchResumes(t *testing.T) {
	inBubble(t, func(f *fixture) {
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
					return errEnough
				}
				got = append(got, string(event.Type)+" "+event.Name)
				return nil
			})
			is.Equal(err, errEnough)
			return got
		}
		is.Equal(collect(1), []string{"put b", "put c"})

		_, data, err := vm.follower.State().Snapshot()
		is.NoErr(err)
		late := f.startVMOn("vm2", platformtest.NewLog())
		is.NoErr(late.follower.State().Restore(data))
		c = f.client(late)
		is.Equal(collect(1), []string{"reset ", "put a", "put b", "put c"})
	})
}

// Guards against a watch or a call that waits for a frozen VM for ever.
func TestFrozenVM(t *testing.T) {
	inBubble(t, func(f *fixture) {
		is := is.New(f.t)
		f.startFrozen("frozen")
		live := f.startVM("vm1")
		_, err := f.client(live).Apply(f.ctx, putDomain(1, "a", 0))
		is.NoErr(err)
		c := f.client(testVM{name: "frozen"}, live)
		list, err := c.List(f.ctx, "")
		is.NoErr(err)
		is.Equal(len(list.Items), 1)
		c = f.client(testVM{name: "frozen"}, live)
		err = c.Watch(f.ctx, client.WatchOptions{}, func(event api.Event) error {
			if event.Type == api.EventPut {
				return errEnough
			}
			return nil
		})
		is.Equal(err, errEnough)
	})
}

package client

import (
	"testing"

	"fireflyfield/internal/operator/api"

	"github.com/matryer/is"
)

// Guards against an event that is lost or delivered twice when a VM fails between two
// events of one record, and against a position that goes back.
func TestDeliverAfterLossWithinRecord(t *testing.T) {
	is := is.New(t)
	var got []string
	handle := func(event api.Event) error {
		got = append(got, string(event.Type)+event.Name)
		return nil
	}
	from := uint64(4)
	c, err := New([]string{"vm1:80"}, "", nil)
	is.NoErr(err)
	w := c.newWatch(WatchOptions{From: &from}, handle)
	a := api.Event{Type: api.EventPut, Revision: 5, Kind: "Rate", Name: "a"}
	b := api.Event{Type: api.EventPut, Revision: 5, Kind: "Rate", Name: "b"}
	end := api.Event{Type: api.EventPosition, Revision: 5}
	older := api.Event{Type: api.EventPosition, Revision: 4}
	for _, event := range []api.Event{a, older, a, b, end, older} {
		is.NoErr(w.deliver(event))
	}
	is.Equal(got, []string{"puta", "putb", "position"})
	is.Equal(*w.options.From, uint64(5))
}

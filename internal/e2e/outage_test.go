package e2e

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that fail while the log is down although every VM and
// backend server works, and against a backend server that is lost meanwhile and
// whose keys stay without an owner.
func TestLogOutage(t *testing.T) {
	is := is.New(t)
	d := threeVMs(t)
	p := startProber(d, 24, "b-1", "a-1", "a-2", "a-3")
	time.Sleep(2 * time.Second)
	p.reset()
	faults := "http://" + d.platform.address() + "/faults"
	put(t, faults, []byte(`{"down":true}`))
	time.Sleep(5 * time.Second)
	p.mu.Lock()
	t.Logf("refusals during the outage %v", p.refusals)
	is.Equal(len(p.refusals), 0)
	p.mu.Unlock()
	d.backends["keyed-a-0"].kill(t)
	time.Sleep(5 * time.Second)
	put(t, faults, []byte(`{"down":false}`))
	time.Sleep(2 * time.Second)
	worst := p.finish()
	t.Logf("longest time without service %s, refusals %v", worst, p.refusals)
	is.True(worst <= servedWithin) // the process has ended, so that its keys move at once
}

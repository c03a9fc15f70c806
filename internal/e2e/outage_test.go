package e2e

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that fail during an outage of the shared log although every VM
// and backend server works, and against keys that stay without an owner when their
// backend server is lost during the outage.
func TestLogOutage(t *testing.T) {
	is := is.New(t)
	d := deployThreeVMs(t)
	p := startProber(d, 24, "b-1", "a-1", "a-2", "a-3")
	time.Sleep(2 * time.Second)
	p.reset()
	faults := "http://" + d.platform.address() + "/faults"
	putJSON(t, faults, []byte(`{"down":true}`))
	time.Sleep(5 * time.Second)
	p.mu.Lock()
	t.Logf("rejections during the outage %v", p.rejections)
	is.Equal(len(p.rejections), 0)
	p.mu.Unlock()
	d.backends["keyed-a-0"].kill(t)
	time.Sleep(5 * time.Second)
	putJSON(t, faults, []byte(`{"down":false}`))
	time.Sleep(2 * time.Second)
	worst := p.finish()
	t.Logf("longest time without service %s, rejections %v", worst, p.rejections)
	is.True(worst <= maxUnservedTime) // the process is known to have ended, so its keys move without waiting for lease expiry
}

package forward

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"fireflyfield/internal/fleet"
	"fireflyfield/internal/gossip"
)

const (
	// noticeTime is the time within which all VMs know a notice, and stableWindow the time within
	// which all VMs must act on what one of them learns.
	noticeTime   = time.Second
	stableWindow = 3 * time.Second
	// datagramLoss is the part of the datagrams that are lost.
	datagramLoss = 0.05
	// datagramOverhead is the size of the IP and UDP headers.
	datagramOverhead = 28
)

// fleetModel is a limitModel whose VMs, in four failure domains, exchange load reports within
// their domains and notices with all.
type fleetModel struct {
	*limitModel
	nodes    []*gossip.Node
	peers    []netip.AddrPort
	underWay []datagram
	bytes    int // of notices since the last bytesPerVM
	started  time.Duration
}

// datagram is a datagram that arrives in the next step.
type datagram struct {
	from, to int
	content  []byte
}

func newFleetModel(vms int, keyed bool) *fleetModel {
	f := &fleetModel{limitModel: newLimitModel(vms, 4, keyed)}
	f.started = f.clock.Time
	for i := range vms {
		f.peers = append(f.peers, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1))
	}
	f.nodes = make([]*gossip.Node, vms)
	for i := range vms {
		f.startVM(i)
	}
	f.onStep = f.exchange
	return f
}

// startVM starts a process of a VM that knows nothing.
func (f *fleetModel) startVM(i int) {
	vm := f.newVM(i, 4, uint64(f.clock.Time))
	f.vms[i] = vm
	topics := map[gossip.Topic]gossip.Subscription{1: {Retention: LimitRetention, Handle: func(n gossip.Notice, at time.Duration) {
		var notice LimitNotice
		if cbor.Unmarshal(n.Content, &notice) == nil {
			vm.ApplyLimitNotice(notice, at)
		}
	}}}
	others := slices.Delete(slices.Clone(f.peers), i, i+1)
	node := gossip.NewNode(f.clock, zap.NewNop(), rand.New(rand.NewPCG(uint64(f.clock.Time), uint64(i))), topics, func() []netip.AddrPort { return others })
	vm.PublishLimit = func(n LimitNotice) { node.PublishShared(1, n.Key(), n.Order(), n) }
	f.nodes[i] = node
}

// exchange delivers datagrams, and sends those that are due.
func (f *fleetModel) exchange() {
	arrived := f.underWay
	f.underWay = nil
	for _, d := range arrived {
		f.send(d.to, f.nodes[d.to].Receive(d.content, f.peers[d.from]))
	}
	step := int((f.clock.Time - f.started) / modelStep)
	for i, node := range f.nodes {
		if (step+i)%int(gossip.RoundInterval/modelStep) == 0 {
			f.send(i, node.Due())
		}
		if (step+i)%int(350*time.Millisecond/modelStep) == 0 {
			f.shareLoad(i)
		}
	}
}

// send sends datagrams from a VM.
func (f *fleetModel) send(from int, datagrams []gossip.Datagram) {
	for _, d := range datagrams {
		for _, to := range d.To {
			f.bytes += len(d.Content) + datagramOverhead
			if f.random.Float64() >= datagramLoss {
				f.underWay = append(f.underWay, datagram{from: from, to: slices.Index(f.peers, to), content: d.Content})
			}
		}
	}
}

// shareLoad sends the load reports of a VM to its failure domain.
func (f *fleetModel) shareLoad(from int) {
	reports := f.vms[from].CollectReports(40)
	for to := range f.vms {
		if to != from && f.vms[to].domain == f.vms[from].domain && len(reports) > 0 {
			f.vms[to].ApplyReports(reports)
		}
	}
}

// knows reports whether a VM keeps to a limit of the limited server.
func (f *fleetModel) knows(vm *Servers) bool {
	n := vm.notices[fleet.ProcessID{Backend: limitedServer, Started: 1}]
	return n != nil && n.limit.named
}

// knowing returns the number of VMs that keep to a limit of the limited server.
func (f *fleetModel) knowing() int {
	count := 0
	for _, vm := range f.vms {
		if f.knows(vm) {
			count++
		}
	}
	return count
}

// runUntil runs until done, at most for d, and returns the time that it took.
func (f *fleetModel) runUntil(d time.Duration, requestsPerSecond float64, done func() bool) time.Duration {
	from := f.clock.Time
	for f.clock.Time < from+d && !done() {
		f.run(modelStep, requestsPerSecond)
	}
	return f.clock.Time - from
}

// mostOfAll returns the largest number of requests of all VMs in 4 s from the given time on.
func (f *fleetModel) mostOfAll(from time.Duration) int {
	var times []time.Duration
	for _, r := range f.arrivals {
		times = append(times, r.sent)
	}
	return mostInWindow(times, from)
}

// bytesPerVM returns the bytes per second that a VM has sent in notices since the last call,
// which was d ago.
func (f *fleetModel) bytesPerVM(d time.Duration) float64 {
	bytes := f.bytes
	f.bytes = 0
	return float64(bytes) / float64(len(f.vms)) / d.Seconds()
}

// TestAllVMsKeepToLimit guards against VMs that do not know what another one has learned of a
// limit: a backend server in need gets requests of VMs that it has not told yet, and one that
// has recovered gets few for minutes. It looks at all requests, also at those of VMs that have
// received no answer with the limit, at a VM that starts meanwhile, and at the end of the limit.
func TestAllVMsKeepToLimit(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		for _, vms := range []int{10, 79, 295} {
			for _, limit := range []float64{1, 4.5} {
				t.Run(fmt.Sprintf("keyed=%v/vms=%d/limit=%g", keyed, vms, limit), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					f := newFleetModel(vms, keyed)
					demand := 360.0
					if keyed {
						demand = 60
					}
					f.run(4*time.Second, demand)
					idle := f.bytesPerVM(4 * time.Second)

					f.limit = limit
					named := f.clock.Time
					f.runUntil(5*time.Second, demand, func() bool { return f.knowing() > 0 })
					spread := f.runUntil(5*time.Second, demand, func() bool { return f.knowing() == vms })
					f.run(named+11*time.Second-f.clock.Time, demand)
					during := f.bytesPerVM(11 * time.Second)
					first, later := f.between(named, named+4*time.Second), f.mostOfAll(named+stableWindow)
					t.Logf("all VMs know after %s; %d requests in the first 4 s, at most %d in 4 s from 3 s on; %.0f bytes/s for each VM, %.0f before",
						spread, first, later, during, idle)

					f.startVM(0)
					restarted := f.runUntil(20*time.Second, demand, func() bool { return f.knows(f.vms[0]) })

					f.limit = 0
					f.runUntil(20*time.Second, demand, func() bool { return f.knowing() < vms })
					end := f.runUntil(20*time.Second, demand, func() bool { return f.knowing() == 0 })
					ended := f.clock.Time
					limited := f.knowing()
					f.run(4*time.Second, demand)
					t.Logf("a VM that starts knows after %s; the last VM knows of the end %s after the first one, %d do not; %d requests in 4 s then",
						restarted, end, limited, f.since(ended))

					is.True(spread <= noticeTime)
					is.True(later <= int(1.5*limit*4+5))
					is.True(restarted <= stableWindow)
					is.True(end <= noticeTime)
					is.True(f.since(ended) > 4*20)
				})
			}
		}
	}
}

// TestLimitNotices guards against notices that arrive late or in another order than they were
// published and undo newer ones, and against an end that says nothing of the limit that a VM knows.
func TestLimitNotices(t *testing.T) {
	begin, end := LimitNotice{Version: 1, Named: true, Rate: 4}, LimitNotice{Version: 2}
	again := LimitNotice{Version: 3, Named: true, Rate: 2}
	for _, test := range []struct {
		name    string
		notices []LimitNotice
		rate    float64 // 0 for no limit
	}{
		{"in order", []LimitNotice{begin, end}, 0},
		{"end first", []LimitNotice{end, begin}, 0},
		{"late end", []LimitNotice{begin, again, end}, 2},
		{"end and limit published at a time", []LimitNotice{begin, end, {Version: 2, Named: true, Rate: 3}}, 3},
		{"limit and end published at a time", []LimitNotice{begin, {Version: 2, Named: true, Rate: 3}, end}, 3},
		{"negative rate", []LimitNotice{{Version: 1, Named: true, Rate: -1}}, 0},
		{"infinite rate", []LimitNotice{{Version: 1, Named: true, Rate: math.Inf(1)}}, 0},
		{"no rate", []LimitNotice{{Version: 1, Named: true, Rate: math.NaN()}}, 0},
		{"no version", []LimitNotice{{Named: true, Rate: 1}}, 0},
		{"highest version", []LimitNotice{{Version: math.MaxUint32, Named: true, Rate: 1}}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := newLimitModel(1, 1, false)
			for _, n := range test.notices {
				n.Backend, n.Started = limitedServer, 1
				m.vms[0].ApplyLimitNotice(n, m.clock.Time) // before the backend server is listed
			}
			m.vms[0].applyView(m.view)
			limit := m.vms[0].byID[limitedServer].notice
			is.Equal(limit != nil && limit.limit.named, test.rate > 0)
			is.True(test.rate == 0 || limit.limit.rate == test.rate)
		})
	}
}

// TestToldLimit guards against a VM that learns of a limit from another one and ends it with an
// answer to a request that it had sent before, against a limit that changes or lasts and of which
// VMs that start learn nothing, and against a limit that counts for nothing since VMs remember an
// earlier one longer than others.
func TestToldLimit(t *testing.T) {
	is := is.New(t)
	m := newNoticeModel()
	var told []LimitNotice
	m.PublishLimit = func(n LimitNotice) { told = append(told, n) }
	m.targets("s")
	answer := func(age time.Duration, limit float64) {
		b := m.byID["s1"]
		m.applyNotices(b, &ResponseHeaders{Signed: true, Limit: limit, HasLimit: limit > 0}, m.clock.Time-age, m.clock.Time)
	}
	process := m.byID["s1"].Process()
	m.ApplyLimitNotice(LimitNotice{Backend: process.Backend, Started: process.Started, Version: 7, Named: true, Rate: 4}, m.clock.Time)
	answer(time.Millisecond, 0)
	is.Equal(m.LimitedCount(), 1)
	is.Equal(len(told), 0)
	answer(0, 4)
	is.Equal(len(told), 0) // all know
	m.clock.Time += minLimitInterval
	answer(0, 3)
	answer(0, 2) // too soon after the last one
	is.Equal(len(told), 1)
	is.Equal(told[0], LimitNotice{Backend: process.Backend, Started: process.Started, Version: 8, Named: true, Rate: 3})
	m.clock.Time += limitRefreshInterval
	answer(0, 2)
	is.Equal(told[1].Version, uint32(9))
	is.Equal(told[1].Rate, 2.0)
	m.clock.Time += time.Second
	answer(0, 0)
	is.Equal(told[2], LimitNotice{Backend: process.Backend, Started: process.Started, Version: 10})
	m.clock.Time += LimitRetention
	m.ApplyLimitNotice(LimitNotice{Backend: process.Backend, Started: process.Started, Version: 1, Named: true, Rate: 4}, m.clock.Time)
	is.Equal(m.LimitedCount(), 1)
}

// TestLimitAfterForgottenNotice guards against a limit that has no effect since the VM has dropped
// an earlier notice of the process, to which it sends nothing.
func TestLimitAfterForgottenNotice(t *testing.T) {
	is := is.New(t)
	m := newLimitModel(1, 1, false)
	vm := m.vms[0]
	vm.applyView(m.view)
	tell := func(id string, version uint32, named bool) {
		vm.ApplyLimitNotice(LimitNotice{Backend: id, Started: 1, Version: version, Named: named, Rate: 4}, m.clock.Time)
	}
	tell("b1", 1, true)
	tell("b1", 2, false)
	m.clock.Time += noticeRetention + time.Second
	tell("b2", 1, true)
	is.Equal(vm.LimitedCount(), 1)
	tell("b1", 1, true)
	is.Equal(vm.LimitedCount(), 2)
	is.Equal(vm.byID["b1"].notice, vm.notices[vm.byID["b1"].Process()]) // also if it is listed again
}

package router

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"fireflyfield/internal/decay"
	"fireflyfield/internal/directory"
	"fireflyfield/internal/fleet"
	"fireflyfield/internal/keylease"
	"fireflyfield/internal/keyrange"
	"fireflyfield/internal/logfield"
	"fireflyfield/internal/share"
	"fireflyfield/internal/sharedlog"
)

const (
	// reportInterval is the time between reports of a VM's load.
	reportInterval = time.Second
	// directInterval is the time between reports that a VM without a relay appends to
	// the log, where each costs a call: less than half of the time for which they count.
	directInterval = 2 * time.Second
	// reportTimeout bounds the append of a report.
	reportTimeout = 800 * time.Millisecond
	// reportRead is the least time between reads of all reports.
	reportRead = 900 * time.Millisecond
	// maxPassing bounds the reports that are kept to be passed on.
	maxPassing = 512
	// coldCapacity is the capacity of a cold backend server relative to a warm one: it
	// works half as fast and bears a limited rate.
	coldCapacity = 0.4
	// weightLife is the time constant of the load of keys.
	weightLife = 3 * time.Second
)

// collector sends this VM's reports and, while it holds the lease, collects those
// of all VMs.
type collector struct {
	r *Router

	mu        sync.Mutex
	reported  time.Duration // when the last report was made
	passing   [][]byte      // reports of other VMs that are to be passed on
	allocator *share.Allocator
	weights   map[string]*keyrange.Weight
	speeds    *speeds
	decayed   time.Duration
	cancel    context.CancelFunc
}

func newCollector(r *Router) *collector {
	return &collector{r: r, allocator: share.NewAllocator(), weights: make(map[string]*keyrange.Weight), speeds: newSpeeds()}
}

// run sends reports until ctx ends. While a relay is in use they travel with its polls.
func (c *collector) run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if c.r.stopping.Load() {
			return
		}
		if c.r.relay.Active() || !c.directDue() {
			continue
		}
		err := c.send(ctx)
		if (err != nil) != failing {
			failing = err != nil
			c.r.log.Info("reports of load", zap.Bool("failing", failing), logfield.Error(err))
		}
	}
}

// due returns the reports for the relay: those of other VMs that arrived since the
// last call, and this VM's own if reportInterval has passed since its last one.
func (c *collector) due() [][]byte {
	c.mu.Lock()
	reports := c.passing
	c.passing = nil
	c.mu.Unlock()
	if !c.ownDue(reportInterval) {
		return reports
	}
	content, err := c.encode()
	if err != nil {
		c.r.log.Error("report cannot be encoded", logfield.Error(err))
		return reports
	}
	return append(reports, content)
}

// ownDue reports whether this VM's last report was made at least some time ago, and
// notes that one is made now.
func (c *collector) ownDue(after time.Duration) bool {
	now := c.r.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now-c.reported < after {
		return false
	}
	c.reported = now
	return true
}

// directDue reports whether a report is due without a relay.
func (c *collector) directDue() bool {
	interval := directInterval
	if c.r.holds.Load() {
		interval = reportInterval // it costs no call
	}
	return c.ownDue(interval - reportInterval/2) // the ticker may come early
}

// takeAll takes reports of other VMs: this VM collects them if it holds the lease,
// else it passes them on.
func (c *collector) takeAll(reports [][]byte) {
	if c.r.holds.Load() {
		for _, report := range reports {
			c.take(report)
		}
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.passing) < maxPassing {
		c.passing = append(c.passing, reports...)
	}
}

func (c *collector) encode() ([]byte, error) {
	return share.Encode(share.Report{
		Member: share.Member{VM: c.r.o.VM, Domain: c.r.o.Domain, Address: c.r.o.PeerListen},
		Demand: c.r.limiter.Demand(c.r.clock.Now()), Keys: c.r.forwarder.TakeKeyCounts(),
		Counts: c.r.limiter.TakeCounts(), Latencies: c.r.servers.TakeLatencies(c.keyed),
	})
}

// keyed reports whether a service is keyed.
func (c *collector) keyed(service string) bool {
	view := c.r.directory.View()
	if view == nil {
		return false
	}
	s := view.Config.Service(service)
	return s != nil && s.Keyed
}

// send hands a report to this VM's own collection, or appends it to the log.
func (c *collector) send(ctx context.Context) error {
	content, err := c.encode()
	if err != nil {
		return err
	}
	if c.r.holds.Load() {
		c.take(content)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err = c.r.o.Log.Append(ctx, c.r.o.ReportTopic, []sharedlog.Record{{Key: c.r.o.VM, Value: content}}, sharedlog.AnyEnd)
	return err
}

// take takes a report of a VM.
func (c *collector) take(content []byte) {
	var report share.Report
	if err := share.Decode(content, &report); err != nil {
		c.r.log.Error("report cannot be read", logfield.Error(err))
		return
	}
	now := c.r.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay(now)
	c.allocator.Observe(report, now)
	c.weigh(report)
	for _, latency := range report.Latencies {
		c.speeds.observe(latency, now)
	}
}

// leave removes this VM's report, so that its shares go to the others.
func (c *collector) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if _, err := c.r.o.Log.Append(ctx, c.r.o.ReportTopic, []sharedlog.Record{{Key: c.r.o.VM}}, sharedlog.AnyEnd); err != nil {
		c.r.log.Info("report of this VM was not removed", logfield.Error(err))
	}
}

// hold starts or ends the collection of reports.
func (c *collector) hold(held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
		c.cancel = nil
	}
	if !held {
		return
	}
	c.allocator = share.NewAllocator()
	members, allotment := c.r.limiter.Current()
	if view := c.r.directory.View(); view != nil {
		c.allocator.Seed(members, allotment, view.Config.Workspaces, c.r.clock.Now())
	}
	clear(c.weights)
	c.speeds = newSpeeds()
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	follower := &directory.Follower{
		Topic: c.r.o.ReportTopic, Interval: reportRead, Log: c.r.log, Now: c.r.clock.Now, Apply: c.apply,
	}
	go follower.Run(ctx, c.r.o.Log)
}

// apply takes reports of VMs that reach the log only.
func (c *collector) apply(batch sharedlog.Batch, info directory.BatchInfo) {
	for _, record := range batch.Records {
		switch {
		case len(record.Value) == 0:
			c.mu.Lock()
			c.allocator.Forget(record.Key)
			c.mu.Unlock()
		case !info.Snapshot:
			c.take(record.Value)
		}
	}
}

// decay lowers the loads of keys with time. The caller holds the lock.
func (c *collector) decay(now time.Duration) {
	left := decay.Factor(now-c.decayed, weightLife)
	c.decayed = now
	for _, weight := range c.weights {
		weight.Decay(left)
	}
}

// weigh adds the requests of a report to the loads of keys. The caller holds the lock.
func (c *collector) weigh(report share.Report) {
	for service, counts := range report.Keys {
		weight := c.weights[service]
		if weight == nil {
			weight = new(keyrange.Weight)
			c.weights[service] = weight
		}
		for _, count := range counts {
			if count.Key >= 0 && count.Key <= keyrange.MaxKey {
				weight.Add(count.Key, float64(count.Count))
			}
		}
	}
}

// notices returns the allotment of all rates and the list of VMs.
func (c *collector) notices() (beat, members []byte) {
	var workspaces []fleet.Workspace
	if view := c.r.directory.View(); view != nil {
		workspaces = view.Config.Workspaces
	}
	c.mu.Lock()
	list := c.allocator.Members(c.r.clock.Now())
	allotment := c.allocator.Allot(workspaces, list, c.r.clock.Now())
	c.mu.Unlock()
	return c.notice(allotment), c.notice(list)
}

func (c *collector) notice(v any) []byte {
	content, err := share.Encode(v)
	if err != nil {
		c.r.log.Error("notice cannot be encoded", logfield.Error(err))
	}
	return content
}

// input returns what the holder of the lease knows of the keyed services.
func (c *collector) input() keylease.Input {
	view := c.r.directory.View()
	in := keylease.Input{Servers: make(map[string][]keylease.Server), Weights: make(map[string]*keyrange.Weight)}
	for _, service := range view.Config.Services {
		if service.Keyed {
			in.Servers[service.Name] = nil
		}
	}
	now := c.r.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.speeds.forget(now)
	for id, b := range view.Backends {
		if _, keyed := in.Servers[b.Service]; !keyed {
			continue
		}
		capacity := float64(b.Slots) * c.speeds.of(id, now)
		if now < b.ColdUntil {
			capacity *= coldCapacity
		}
		in.Servers[b.Service] = append(in.Servers[b.Service], keylease.Server{
			ID: id, Address: b.Address, Started: b.Started, Usable: view.Usable(&b), Capacity: capacity,
		})
	}
	for service, weight := range c.weights {
		copied := *weight
		in.Weights[service] = &copied
	}
	return in
}

package router

import (
	"context"
	"maps"
	"slices"
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
	// reportInterval is the time between two reports of a VM.
	reportInterval = time.Second
	// directReportInterval is the time between two reports that a VM without a relay
	// appends to the shared log. It is longer since each append is a call to the log
	// service, and less than half of the time for which a report counts.
	directReportInterval = 2 * time.Second
	// reportTimeout is the timeout of an append of a report to the shared log.
	reportTimeout = 800 * time.Millisecond
	// reportReadInterval is the least time between two reads of the report topic.
	reportReadInterval = 900 * time.Millisecond
	// maxForwardedBytes bounds the queued reports, so that they fit into a poll.
	maxForwardedBytes = 128 << 10
	// maxForwardedReports is the number of queued reports of other VMs from which on new
	// ones are discarded.
	maxForwardedReports = 512
	// coldCapacityRatio is the capacity of a cold backend server relative to a warm one.
	// A cold one works half as fast and accepts a limited rate.
	coldCapacityRatio = 0.4
	// keyLoadTimeConstant is the time constant with which the load of a key decays.
	keyLoadTimeConstant = 3 * time.Second
)

// collector sends the reports of this VM. While this VM is the lease holder, it also
// collects the reports of all VMs, from which it computes the allotment and the load of
// each key.
type collector struct {
	router *Router

	mu         sync.Mutex
	reportedAt time.Duration // when the last own report was made
	// deliveredAt is when the last own report was made that did not come back, and
	// deliveredBefore the same for the report before it.
	deliveredAt, deliveredBefore time.Duration
	forwardedReports             [][]byte // reports of other VMs on their way to the lease holder
	allocator                    *share.Allocator
	weights                      map[string]*keyrange.Weight // load of the keys, by service
	speeds                       *speedModel
	leaving                      map[string]int64 // start of the process of leaving owners of keys, by ID
	limits                       ownerLimits
	decayedAt                    time.Duration      // when weights last decayed
	stopFollower                 context.CancelFunc // ends the reads of the report topic; nil if there are none
}

func newCollector(r *Router) *collector {
	return &collector{router: r, allocator: share.NewAllocator(), weights: make(map[string]*keyrange.Weight), speeds: newSpeedModel(), leaving: make(map[string]int64), limits: make(ownerLimits)}
}

// run sends reports until ctx ends or the VM stops. While a relay is in use, reports are
// sent with its polls instead.
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
		if c.router.stopping.Load() {
			return
		}
		if c.router.relay.Active() || !c.beginDirectReportIfDue() {
			continue
		}
		err := c.send(ctx)
		if (err != nil) != failing {
			failing = err != nil
			c.router.log.Info("sending of reports changed", zap.Bool("failing", failing), logfield.Error(err))
		}
	}
}

// takeDueReports returns the encoded reports to send with the next poll: those of other
// VMs that arrived since the last call, and this VM's own if reportInterval has passed
// since its last one.
func (c *collector) takeDueReports() [][]byte {
	c.mu.Lock()
	reports := c.forwardedReports
	c.forwardedReports = nil
	c.mu.Unlock()
	if !c.beginReportIfDue(reportInterval) {
		return reports
	}
	content, err := c.encodeReport()
	if err != nil {
		c.router.log.Error("report of this VM cannot be encoded", logfield.Error(err))
		return reports
	}
	return append(reports, content)
}

// beginReportIfDue reports whether this VM's last report is at least as old as interval.
// If so, it sets the time of the last report to now, and the caller must make a new one.
func (c *collector) beginReportIfDue(interval time.Duration) bool {
	now := c.router.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now-c.reportedAt < interval {
		return false
	}
	c.reportedAt = now
	c.deliveredBefore, c.deliveredAt = c.deliveredAt, now
	return true
}

// beginDirectReportIfDue is beginReportIfDue for a VM that sends its reports without a
// relay. Reports that came back from a relay do not count.
func (c *collector) beginDirectReportIfDue() bool {
	interval := directReportInterval
	if c.router.isLeaseHolder.Load() {
		interval = reportInterval // the report does not go through the shared log
	}
	now := c.router.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	// With the full interval, a tick that comes slightly early would make no report.
	if now-c.deliveredAt < interval-reportInterval/2 {
		return false
	}
	c.reportedAt, c.deliveredAt = now, now
	return true
}

// returnReports takes back reports that a relay has refused or not answered, for the next
// poll or the shared log.
func (c *collector) returnReports(reports [][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliveredAt = c.deliveredBefore
	c.forwardedReports = newestReports(append(reports, c.forwardedReports...))
}

// newestReports returns the last of the reports, which are in order of their arrival, within
// maxForwardedBytes.
func newestReports(reports [][]byte) [][]byte {
	size := 0
	for i, report := range slices.Backward(reports) {
		if size += len(report); size > maxForwardedBytes {
			return slices.Clone(reports[i+1:])
		}
	}
	return reports
}

// receive takes the reports that other VMs sent with their polls. The lease holder
// collects them; any other VM queues them for its own next poll.
func (c *collector) receive(reports [][]byte) {
	if c.router.isLeaseHolder.Load() {
		for _, report := range reports {
			c.collect(report)
		}
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.forwardedReports) < maxForwardedReports {
		c.forwardedReports = append(c.forwardedReports, reports...)
	}
}

// encodeReport returns the encoded report of this VM, and starts new counts.
func (c *collector) encodeReport() ([]byte, error) {
	number, demand := c.router.limiter.NextReport(c.router.clock.Now())
	return share.Encode(share.Report{
		Member: share.Member{VM: c.router.options.VM, Domain: c.router.options.Domain, Address: c.router.options.PeerListen, FanOut: c.router.options.RelayFanOut},
		Number: number, Demand: demand, Keys: c.router.forwarder.TakeKeyCounts(),
		Counts: c.router.limiter.TakeCounts(), Latencies: c.router.servers.TakeLatencies(c.isKeyed),
		Leaving: c.router.servers.LeavingOwners(), Limits: c.router.servers.OwnerLimits(),
	})
}

// isKeyed reports whether the service is keyed.
func (c *collector) isKeyed(service string) bool {
	view := c.router.directory.View()
	if view == nil {
		return false
	}
	s := view.Config.Service(service)
	return s != nil && s.Keyed
}

// send makes a report of this VM. The lease holder collects it itself; any other VM appends
// it to the shared log, with the reports of the VMs that poll this one. Otherwise these VMs
// would be dropped from the members while their relay reads the log itself, as when the
// failure domain is cut off from the lease holder.
func (c *collector) send(ctx context.Context) error {
	content, err := c.encodeReport()
	if err != nil {
		return err
	}
	if c.router.isLeaseHolder.Load() {
		c.collect(content)
		return nil
	}
	c.mu.Lock()
	reports := append(c.forwardedReports, content)
	c.forwardedReports = nil
	c.mu.Unlock()
	records, err := reportRecords(reports)
	if err != nil {
		c.router.log.Error("report of a VM cannot be decoded", logfield.Error(err))
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err = c.router.options.Log.Append(ctx, c.router.options.ReportTopic, records, sharedlog.AnyEnd); err != nil {
		c.returnReports(reports)
	}
	return err
}

// reportRecords returns the records of encoded reports, under the names of their VMs. It
// leaves out reports that cannot be decoded and returns the error of the last one.
func reportRecords(reports [][]byte) (records []sharedlog.Record, err error) {
	for _, content := range reports {
		var report share.Report
		if decodeErr := share.Decode(content, &report); decodeErr != nil {
			err = decodeErr
			continue
		}
		records = append(records, sharedlog.Record{Key: report.Member.VM, Value: content})
	}
	return records, err
}

// collect adds an encoded report of any VM to the demand, the load of keys and the
// latencies of backend servers.
func (c *collector) collect(content []byte) {
	var report share.Report
	if err := share.Decode(content, &report); err != nil {
		c.router.log.Error("report of a VM cannot be decoded", logfield.Error(err))
		return
	}
	now := c.router.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decayKeyLoads(now)
	c.allocator.Observe(report, now)
	c.addKeyLoads(report)
	for _, latency := range report.Latencies {
		c.speeds.observe(latency, now)
	}
	maps.Copy(c.leaving, report.Leaving)
	if view := c.router.directory.View(); view != nil {
		c.limits.observe(report.Limits, view, now)
	}
}

// withdrawReport removes this VM's report from the shared log, so that its shares go to
// the other VMs. It gives up when ctx ends.
func (c *collector) withdrawReport(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := c.router.options.Log.Append(ctx, c.router.options.ReportTopic, []sharedlog.Record{{Key: c.router.options.VM}}, sharedlog.AnyEnd); err != nil {
		c.router.log.Info("report of this VM could not be removed", logfield.Error(err))
	}
}

// setLeaseHolder starts the collection of reports when this VM becomes the lease holder,
// and ends it when it no longer is. A new lease holder starts from the last published
// list of members and allotment.
func (c *collector) setLeaseHolder(held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopFollower != nil {
		c.stopFollower()
		c.stopFollower = nil
	}
	if !held {
		return
	}
	c.allocator = share.NewAllocator()
	members, allotment := c.router.limiter.Current()
	c.allocator.Seed(members, allotment, c.router.clock.Now())
	clear(c.weights)
	c.speeds = newSpeedModel()
	ctx, cancel := context.WithCancel(context.Background())
	c.stopFollower = cancel
	follower := &directory.Follower{
		Topic: c.router.options.ReportTopic, Interval: reportReadInterval, Log: c.router.log, Now: c.router.clock.Now, Apply: c.applyBatch,
	}
	go follower.Run(ctx, c.router.options.Log)
}

// applyBatch takes the reports that VMs without a relay append to the shared log, and the
// removals of reports. Reports in a snapshot are ignored: they may be older than the time
// for which a report counts, and collect would count them as made now.
func (c *collector) applyBatch(batch sharedlog.Batch, info directory.BatchInfo) {
	for _, record := range batch.Records {
		switch {
		case len(record.Value) == 0:
			c.mu.Lock()
			c.allocator.Forget(record.Key)
			c.mu.Unlock()
		case !info.Snapshot:
			c.collect(record.Value)
		}
	}
}

// decayKeyLoads reduces the load of all keys by the time since the last call. The caller
// holds the lock.
func (c *collector) decayKeyLoads(now time.Duration) {
	remaining := decay.Factor(now-c.decayedAt, keyLoadTimeConstant)
	c.decayedAt = now
	for _, weight := range c.weights {
		weight.Decay(remaining)
	}
}

// addKeyLoads adds the requests that a report counts to the load of their keys. Counts
// of keys out of range are ignored. The caller holds the lock.
func (c *collector) addKeyLoads(report share.Report) {
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

// encodeNotices returns the encoded allotment, which heartbeats carry, and the encoded
// list of members.
func (c *collector) encodeNotices() (heartbeat, members []byte) {
	var workspaces []fleet.Workspace
	var version int64
	if view := c.router.directory.View(); view != nil {
		workspaces, version = view.Config.Workspaces, view.Config.Version
	}
	c.mu.Lock()
	list := c.allocator.Members(c.router.clock.Now())
	allotment := c.allocator.Allot(workspaces, list, c.router.clock.Now())
	c.mu.Unlock()
	allotment.ConfigVersion = version
	allotment.Quarantined = c.router.quarantine.Verdicts(c.router.clock.Now())
	heartbeat, members = c.encodeNotice(allotment), c.encodeNotice(list)
	if len(heartbeat) > c.maxNoticeBytes() {
		// The shared log would reject it, and the assignment lease would be lost. Even shares
		// are safe for all workspaces.
		c.router.log.Error("allotment is larger than a record, all VMs get even shares", zap.Int("bytes", len(heartbeat)))
		allotment.Workspaces = nil
		heartbeat = c.encodeNotice(allotment)
	}
	return heartbeat, members
}

// maxNoticeBytes returns the size limit of an allotment. The rest of a record is its key.
func (c *collector) maxNoticeBytes() int {
	return c.router.options.MaxRecordBytes - len(c.router.options.LeaseTopic)
}

// isLeaving reports whether a VM has learned from an answer that the backend server leaves.
// The caller holds the lock.
func (c *collector) isLeaving(b *directory.Backend) bool {
	started, ok := c.leaving[b.ID]
	return ok && started == b.Started
}

func (c *collector) encodeNotice(v any) []byte {
	content, err := share.Encode(v)
	if err != nil {
		c.router.log.Error("allotment or list of members cannot be encoded", logfield.Error(err))
	}
	return content
}

// assignmentInput returns the backend servers of the keyed services with their
// capacities, and the load of the keys, as the lease holder needs them to assign key
// ranges. A configuration must be known.
func (c *collector) assignmentInput() keylease.Input {
	view := c.router.directory.View()
	input := keylease.Input{Servers: make(map[string][]keylease.Server), Weight: c.keyWeight}
	for _, service := range view.Config.Services {
		if service.Keyed {
			input.Servers[service.Name] = nil
		}
	}
	now := c.router.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.speeds.dropStale(now)
	c.limits.dropStale(now)
	maps.DeleteFunc(c.leaving, func(id string, started int64) bool { return view.Backends[id].Started != started })
	for id, backend := range view.Backends {
		if _, keyed := input.Servers[backend.Service]; !keyed {
			continue
		}
		capacity := float64(backend.Slots) * c.speeds.estimate(id, now)
		if now < backend.ColdUntil {
			capacity *= coldCapacityRatio
		}
		input.Servers[backend.Service] = append(input.Servers[backend.Service], keylease.Server{
			ID: id, Address: backend.Address, Started: backend.Started, Usable: view.Usable(&backend) && !c.isLeaving(&backend), Capacity: capacity,
		})
	}
	if len(c.limits) == 0 {
		return input // the load of all keys is a long sum
	}
	for name, servers := range input.Servers {
		if weight := c.weights[name]; weight != nil {
			c.limits.reduceCapacities(servers, weight.RangeLoad(keyrange.Range{First: 0, Last: keyrange.MaxKey})/keyLoadTimeConstant.Seconds())
		}
	}
	return input
}

// keyWeight returns a copy of the load of the keys of a service, or nil if there is none.
func (c *collector) keyWeight(service string) *keyrange.Weight {
	c.mu.Lock()
	defer c.mu.Unlock()
	weight := c.weights[service]
	if weight == nil {
		return nil
	}
	weightCopy := *weight
	return &weightCopy
}

package vm

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fireflyfield/internal/metrics"
	"fireflyfield/internal/platform"
)

const (
	// collectInterval is the shortest time between two rounds of polls.
	collectInterval = time.Second
	// maxPollsPerInterval bounds the polls per collectInterval. With more VMs the rounds are
	// proportionally further apart, which keeps the control traffic of a VM constant.
	maxPollsPerInterval = 32
	// maxParallelPolls bounds the polls in progress.
	maxParallelPolls = 8
	// missedRounds is the number of rounds without a reply after which a VM counts as
	// missing.
	missedRounds = 2
)

// statusCollector polls the status of the other VMs and keeps the last reply of each.
type statusCollector struct {
	vm *VM

	mu       sync.Mutex
	statuses map[string]collectedStatus
}

// collectedStatus is the last status that one VM returned.
type collectedStatus struct {
	instance string
	// sentAt is the time at which the poll was sent, not that of the reply, so that
	// the age is never underestimated.
	sentAt time.Time
	status statusReply
}

func newStatusCollector(v *VM) *statusCollector {
	return &statusCollector{vm: v, statuses: make(map[string]collectedStatus)}
}

// run polls the other VMs in rounds and samples the use of workspaces until the
// context ends.
func (c *statusCollector) run(ctx context.Context) {
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	for {
		others := c.vm.fleet.allExcept(c.vm.options.Name)
		c.pollAll(ctx, others)
		c.vm.usage.sample(time.Now(), c.vm.follower.State().View())
		ticker.Reset(roundInterval(len(others)))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// roundInterval is the time from the end of a round to the start of the next one, for
// the number of VMs to poll.
func roundInterval(vms int) time.Duration {
	return collectInterval * time.Duration(max(1, (vms+maxPollsPerInterval-1)/maxPollsPerInterval))
}

// missingAfter is the age of the last reply above which a VM counts as missing. It
// allows callTimeout for each of two polls that are not answered.
func missingAfter(vms int) time.Duration {
	return missedRounds*roundInterval(vms) + 2*callTimeout
}

// pollAll polls the VMs, at most maxParallelPolls at a time.
func (c *statusCollector) pollAll(ctx context.Context, others []platform.VM) {
	var group errgroup.Group
	group.SetLimit(maxParallelPolls)
	for _, other := range others {
		group.Go(func() error {
			c.poll(ctx, other)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	c.dropUnlisted(others)
}

// poll requests the status of one VM. A reply under another name is discarded.
func (c *statusCollector) poll(ctx context.Context, other platform.VM) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	var reply statusReply
	answered, err := c.vm.peerClient.Call(ctx, other.PeerAddress, messageStatus, statusCall{}, &reply)
	if err != nil || answered.VM != other.Name {
		c.vm.metrics.StatusCall(metrics.ResultFailed)
		return
	}
	c.vm.metrics.StatusCall(metrics.ResultOK)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[other.Name] = collectedStatus{instance: answered.Instance, sentAt: sent, status: reply}
}

// dropUnlisted discards the status of VMs that the platform no longer lists.
func (c *statusCollector) dropUnlisted(others []platform.VM) {
	listed := make(map[string]bool, len(others))
	for _, other := range others {
		listed[other.Name] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.statuses {
		if !listed[name] {
			delete(c.statuses, name)
		}
	}
}

// knownVM is one VM of the platform's list with its last status.
type knownVM struct {
	platform.VM
	status statusReply
	// age is the time since the last status was requested; negative if there is none.
	age     time.Duration
	missing bool
}

// knownVMs returns this VM, followed by the other VMs of the platform's list sorted by
// name. It does not wait for any of them.
func (c *statusCollector) knownVMs(now time.Time) []knownVM {
	self := c.vm.self()
	listed := c.vm.fleet.allExcept(self.Name)
	limit := missingAfter(len(listed))
	vms := []knownVM{{VM: self, status: c.vm.localStatus()}}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range listed {
		known := knownVM{VM: other, age: -1, missing: true}
		if collected, ok := c.statuses[other.Name]; ok {
			known.status = collected.status
			known.age = now.Sub(collected.sentAt)
			known.missing = known.age > limit
		}
		vms = append(vms, known)
	}
	return vms
}

// self returns this VM as the platform lists it, or as it is configured if the
// platform does not list it.
func (v *VM) self() platform.VM {
	if listed, ok := v.fleet.lookup(v.options.Name); ok {
		return listed
	}
	return platform.VM{Name: v.options.Name, FailureDomain: v.options.FailureDomain, PeerAddress: v.PeerAddress(), State: platform.VMLive}
}

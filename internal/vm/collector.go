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
	// collectInterval is the shortest time between two rounds of questions.
	collectInterval = time.Second
	// callsPerRound bounds the questions per collectInterval; with more VMs a round
	// takes proportionally longer, which keeps the control traffic of a VM constant.
	callsPerRound = 32
	// collectParallel bounds the questions in progress.
	collectParallel = 8
	// missedRounds is the number of rounds without an answer after which a VM counts
	// as missing.
	missedRounds = 2
)

// collector asks the other VMs for their status and keeps the last answers.
type collector struct {
	vm *VM

	mu      sync.Mutex
	answers map[string]vmAnswer
}

// vmAnswer is the last answer of one VM.
type vmAnswer struct {
	instance string
	// sent is when the question was sent, so that the age is never too low.
	sent   time.Time
	status statusReply
}

func newCollector(v *VM) *collector {
	return &collector{vm: v, answers: make(map[string]vmAnswer)}
}

// run asks round after round until the context ends.
func (c *collector) run(ctx context.Context) {
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	for {
		others := c.vm.fleet.except(c.vm.options.Name)
		c.round(ctx, others)
		c.vm.use.sample(time.Now(), c.vm.follower.State().View())
		ticker.Reset(roundInterval(len(others)))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func roundInterval(vms int) time.Duration {
	return collectInterval * time.Duration(max(1, (vms+callsPerRound-1)/callsPerRound))
}

// missingAfter is the age from which a VM counts as missing. A question that is not
// answered takes callTimeout.
func missingAfter(vms int) time.Duration {
	return missedRounds*roundInterval(vms) + 2*callTimeout
}

func (c *collector) round(ctx context.Context, others []platform.VM) {
	var group errgroup.Group
	group.SetLimit(collectParallel)
	for _, other := range others {
		group.Go(func() error {
			c.ask(ctx, other)
			return nil
		})
	}
	_ = group.Wait() // the questions return no error
	c.forget(others)
}

func (c *collector) ask(ctx context.Context, other platform.VM) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	var reply statusReply
	answered, err := c.vm.calls.Call(ctx, other.PeerAddress, messageStatus, statusCall{}, &reply)
	if err != nil || answered.VM != other.Name {
		c.vm.metrics.StatusCall(metrics.ResultFailed)
		return
	}
	c.vm.metrics.StatusCall(metrics.ResultOK)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[other.Name] = vmAnswer{instance: answered.Instance, sent: sent, status: reply}
}

// forget drops the answers of VMs that left the platform's list.
func (c *collector) forget(others []platform.VM) {
	listed := make(map[string]bool, len(others))
	for _, other := range others {
		listed[other.Name] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.answers {
		if !listed[name] {
			delete(c.answers, name)
		}
	}
}

// knownVM is one VM of the platform's list with its last answer.
type knownVM struct {
	platform.VM
	status statusReply
	// age is the time since the last answer; negative without one.
	age     time.Duration
	missing bool
}

// known returns every VM of the list and this one, sorted by name. It does not wait
// for any of them.
func (c *collector) known(now time.Time) []knownVM {
	self := c.vm.self()
	listed := c.vm.fleet.except(self.Name)
	limit := missingAfter(len(listed))
	vms := []knownVM{{VM: self, status: c.vm.localStatus()}}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range listed {
		known := knownVM{VM: other, age: -1, missing: true}
		if answer, ok := c.answers[other.Name]; ok {
			known.status = answer.status
			known.age = now.Sub(answer.sent)
			known.missing = known.age > limit
		}
		vms = append(vms, known)
	}
	return vms
}

// self is this VM as the platform lists it, or as it is configured.
func (v *VM) self() platform.VM {
	if listed, ok := v.fleet.lookup(v.options.Name); ok {
		return listed
	}
	return platform.VM{Name: v.options.Name, FailureDomain: v.options.FailureDomain, PeerAddress: v.PeerAddress(), State: platform.VMLive}
}

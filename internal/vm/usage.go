package vm

import (
	"maps"
	"sync"
	"time"

	"fireflyfield/internal/config"
)

const (
	// usageSamples is the number of samples that are kept. The request rate is averaged
	// since the oldest of them.
	usageSamples = 5
	// sampleInterval is the shortest time between two samples. The status collector
	// takes one after each round of polls; the rounds are further apart with many VMs.
	sampleInterval = time.Second
)

// usageCounter counts the granted and the rejected requests of each workspace on this
// VM since its start.
type usageCounter struct {
	mu         sync.Mutex
	workspaces map[string]*workspaceCount
}

// workspaceCount holds the counts of one workspace.
type workspaceCount struct {
	granted  uint64
	refusals map[string]uint64
	// samples holds earlier values of granted, the oldest first.
	samples []usageSample
}

// usageSample is the number of granted requests at one time.
type usageSample struct {
	takenAt time.Time
	granted uint64
}

func newUsageCounter() *usageCounter {
	return &usageCounter{workspaces: make(map[string]*workspaceCount)}
}

func (u *usageCounter) countGranted(workspace string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.countLocked(workspace).granted++
}

func (u *usageCounter) countRefused(workspace, reason string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.countLocked(workspace).refusals[reason]++
}

func (u *usageCounter) countLocked(workspace string) *workspaceCount {
	count, ok := u.workspaces[workspace]
	if !ok {
		count = &workspaceCount{refusals: make(map[string]uint64)}
		u.workspaces[workspace] = count
	}
	return count
}

// sample records the current counts and removes workspaces that are no longer in the
// configuration.
func (u *usageCounter) sample(now time.Time, view *config.View) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for name, count := range u.workspaces {
		if _, ok := view.Workspace(name); !ok {
			delete(u.workspaces, name)
			continue
		}
		count.samples = append(count.samples, usageSample{takenAt: now, granted: count.granted})
		if len(count.samples) > usageSamples {
			count.samples = count.samples[1:]
		}
	}
}

// report returns the request rate and the rejections of each workspace.
func (u *usageCounter) report(now time.Time) []workspaceUsage {
	u.mu.Lock()
	defer u.mu.Unlock()
	list := make([]workspaceUsage, 0, len(u.workspaces))
	for name, count := range u.workspaces {
		list = append(list, workspaceUsage{Name: name, PerSecond: count.rate(now), Refusals: maps.Clone(count.refusals)})
	}
	return list
}

// rate is the average rate in requests/s since the oldest sample; 0 while that sample
// is too recent.
func (c *workspaceCount) rate(now time.Time) float64 {
	if len(c.samples) == 0 {
		return 0
	}
	oldest := c.samples[0]
	elapsed := now.Sub(oldest.takenAt)
	if elapsed < sampleInterval/2 {
		return 0
	}
	return float64(c.granted-oldest.granted) / elapsed.Seconds()
}

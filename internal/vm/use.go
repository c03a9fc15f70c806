package vm

import (
	"maps"
	"sync"
	"time"

	"fireflyfield/internal/config"
)

const (
	// useSamples and sampleInterval give the window over which use is averaged.
	useSamples     = 5
	sampleInterval = time.Second
)

// use counts the requests and refusals of each workspace on this VM.
type use struct {
	mu         sync.Mutex
	workspaces map[string]*workspaceCount
}

type workspaceCount struct {
	granted  uint64
	refusals map[string]uint64
	// samples holds earlier values of granted, the oldest first.
	samples []useSample
}

type useSample struct {
	at      time.Time
	granted uint64
}

func newUse() *use { return &use{workspaces: make(map[string]*workspaceCount)} }

func (u *use) granted(workspace string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.countLocked(workspace).granted++
}

func (u *use) refused(workspace, reason string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.countLocked(workspace).refusals[reason]++
}

func (u *use) countLocked(workspace string) *workspaceCount {
	count, ok := u.workspaces[workspace]
	if !ok {
		count = &workspaceCount{refusals: make(map[string]uint64)}
		u.workspaces[workspace] = count
	}
	return count
}

// sample notes the present counts and forgets deleted workspaces.
func (u *use) sample(now time.Time, view *config.View) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for name, count := range u.workspaces {
		if _, ok := view.Workspace(name); !ok {
			delete(u.workspaces, name)
			continue
		}
		count.samples = append(count.samples, useSample{at: now, granted: count.granted})
		if len(count.samples) > useSamples {
			count.samples = count.samples[1:]
		}
	}
}

// report returns the use of each workspace.
func (u *use) report(now time.Time) []workspaceUse {
	u.mu.Lock()
	defer u.mu.Unlock()
	list := make([]workspaceUse, 0, len(u.workspaces))
	for name, count := range u.workspaces {
		list = append(list, workspaceUse{Name: name, PerSecond: count.rate(now), Refusals: maps.Clone(count.refusals)})
	}
	return list
}

// rate is the average over the time since the oldest sample.
func (c *workspaceCount) rate(now time.Time) float64 {
	if len(c.samples) == 0 {
		return 0
	}
	oldest := c.samples[0]
	elapsed := now.Sub(oldest.at)
	if elapsed < sampleInterval/2 {
		return 0
	}
	return float64(c.granted-oldest.granted) / elapsed.Seconds()
}

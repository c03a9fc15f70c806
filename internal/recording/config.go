package recording

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"fireflyfield/internal/config"
	"fireflyfield/internal/resource"
	"fireflyfield/internal/trace"
)

// Config records what changes in the configuration of one VM. It belongs to one
// goroutine.
type Config struct {
	writer *trace.Writer
	last   *config.View
	digest trace.Hash
}

// NewConfig returns a recorder that has seen no configuration.
func NewConfig(writer *trace.Writer) *Config { return &Config{writer: writer} }

// Follow records every configuration from the present one on until the context
// ends.
func (c *Config) Follow(ctx context.Context, state *config.State) {
	for {
		changed := state.Changed()
		c.See(state.View())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// See records the differences between the view and the one before. A view with
// the content of the one before has a new revision only, which is in force but
// changed nothing.
func (c *Config) See(view *config.View) {
	if c.last != nil && c.last.Revision() == view.Revision() {
		return
	}
	digest := digestOf(view)
	if c.last == nil || digest != c.digest {
		c.writer.Record(trace.ConfigAccepted{Revision: view.Revision(), Digest: digest})
		c.recordKeys(view)
		c.recordRates(view)
		c.recordDrains(view)
	}
	c.writer.Record(trace.ConfigInForce{Revision: view.Revision(), Digest: digest})
	c.last, c.digest = view, digest
}

// digestOf hashes every resource with its revision in a fixed order.
func digestOf(view *config.View) trace.Hash {
	digest := xxhash.New()
	encoder := json.NewEncoder(digest)
	for _, kind := range resource.Kinds {
		for _, r := range view.List(kind) {
			// A spec holds only strings, numbers and lists, and the hash takes every
			// write.
			_ = encoder.Encode(r)
		}
	}
	return trace.Hash(digest.Sum64())
}

func (c *Config) previous() *config.View {
	if c.last == nil {
		return &config.View{}
	}
	return c.last
}

func (c *Config) recordKeys(view *config.View) {
	known := keysOf(c.previous())
	present := keysOf(view)
	for _, key := range c.previous().CallerKeys() {
		digest := digestOfKey(key)
		if _, ok := present[digest]; !ok {
			c.writer.Record(trace.CallerKeyWithdraw{Digest: digest, Revision: view.Revision()})
		}
	}
	for _, key := range view.CallerKeys() {
		digest := digestOfKey(key)
		if workspace, ok := known[digest]; !ok || workspace != key.Spec.Workspace {
			c.writer.Record(trace.CallerKey{Digest: digest, Workspace: key.Spec.Workspace, Revision: key.Revision})
		}
	}
}

// keysOf maps the digest of each caller key to its workspace.
func keysOf(view *config.View) map[trace.Digest]string {
	keys := make(map[trace.Digest]string)
	for _, key := range view.CallerKeys() {
		keys[digestOfKey(key)] = key.Spec.Workspace
	}
	return keys
}

func digestOfKey(key config.CallerKey) trace.Digest {
	return trace.Digest(strings.ToLower(key.Spec.Digest))
}

func (c *Config) recordRates(view *config.View) {
	for _, rate := range view.Rates() {
		before, ok := c.previous().Lookup(resource.ID{Kind: resource.KindRate, Name: rate.Name})
		if ok && before.Metadata.Revision == rate.Revision {
			continue
		}
		c.writer.Record(trace.Rate{
			Workspace:         rate.Spec.Workspace,
			RequestsPerSecond: float64(rate.Spec.RequestsPerSecond),
			Burst:             int(rate.Spec.Burst),
			Revision:          rate.Revision,
		})
	}
}

func (c *Config) recordDrains(view *config.View) {
	for _, drain := range c.previous().Drains() {
		now, ok := view.Lookup(resource.ID{Kind: resource.KindDrain, Name: drain.Name})
		if !ok || now.Metadata.Revision != drain.Revision {
			c.writer.Record(leave(trace.LeaveWithdrawn, c.previous(), drain))
		}
	}
	for _, drain := range view.Drains() {
		before, ok := c.previous().Lookup(resource.ID{Kind: resource.KindDrain, Name: drain.Name})
		if !ok || before.Metadata.Revision != drain.Revision {
			c.writer.Record(leave(trace.LeaveDrain, view, drain))
		}
	}
}

func leave(phase trace.LeavePhase, view *config.View, drain config.Drain) trace.Leave {
	event := trace.Leave{Phase: phase, Domain: drain.Spec.FailureDomain, Revision: drain.Revision}
	if target := drain.Spec.BackendServer; target != nil {
		event.Server = trace.Server{Service: target.Service, Name: target.Name, Domain: domainOf(view, target)}
	}
	return event
}

// domainOf returns the failure domain of the backend server.
func domainOf(view *config.View, target *resource.BackendTarget) string {
	service, ok := view.Service(target.Service)
	if !ok {
		return ""
	}
	server, _ := service.Spec.Server(target.Name)
	return server.FailureDomain
}

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

// Config records the changes of the configuration of one VM. It isn't safe for
// concurrent use.
type Config struct {
	writer         *trace.Writer
	previousView   *config.View
	previousDigest trace.Hash
}

// NewConfig returns a recorder that has seen no configuration.
func NewConfig(writer *trace.Writer) *Config { return &Config{writer: writer} }

// Follow records the current view of the configuration, and the new view whenever the
// configuration changes, until the context ends. Of several changes in quick succession
// it may record only the view after the last one.
func (c *Config) Follow(ctx context.Context, state *config.State) {
	for {
		changed := state.Changed()
		c.Record(state.View())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Record records the differences between the view and the one recorded before. If only
// the revision differs, it records just that the new revision is in force.
func (c *Config) Record(view *config.View) {
	if c.previousView != nil && c.previousView.Revision() == view.Revision() {
		return
	}
	digest := viewDigest(view)
	if c.previousView == nil || digest != c.previousDigest {
		c.writer.Record(trace.ConfigAccepted{Revision: view.Revision(), Digest: digest})
		c.recordKeys(view)
		c.recordRates(view)
		c.recordDrains(view)
	}
	c.writer.Record(trace.ConfigInForce{Revision: view.Revision(), Digest: digest})
	c.previousView, c.previousDigest = view, digest
}

// viewDigest hashes every resource with its revision in a fixed order.
func viewDigest(view *config.View) trace.Hash {
	digest := xxhash.New()
	encoder := json.NewEncoder(digest)
	for _, kind := range resource.Kinds {
		for _, r := range view.List(kind) {
			// Encoding can't fail: a spec holds only strings, numbers and lists, and
			// writing to the hash never fails.
			_ = encoder.Encode(r)
		}
	}
	return trace.Hash(digest.Sum64())
}

// previousOrEmpty returns the view recorded last, or an empty one at first.
func (c *Config) previousOrEmpty() *config.View {
	if c.previousView == nil {
		return &config.View{}
	}
	return c.previousView
}

func (c *Config) recordKeys(view *config.View) {
	before := workspaceByDigest(c.previousOrEmpty())
	after := workspaceByDigest(view)
	for _, key := range c.previousOrEmpty().CallerKeys() {
		digest := callerKeyDigest(key)
		if _, ok := after[digest]; !ok {
			c.writer.Record(trace.CallerKeyWithdraw{Digest: digest, Revision: view.Revision()})
		}
	}
	for _, key := range view.CallerKeys() {
		digest := callerKeyDigest(key)
		if workspace, ok := before[digest]; !ok || workspace != key.Spec.Workspace {
			c.writer.Record(trace.CallerKey{Digest: digest, Workspace: key.Spec.Workspace, Revision: key.Revision})
		}
	}
}

// workspaceByDigest maps the digest of each caller key to its workspace.
func workspaceByDigest(view *config.View) map[trace.Digest]string {
	keys := make(map[trace.Digest]string)
	for _, key := range view.CallerKeys() {
		keys[callerKeyDigest(key)] = key.Spec.Workspace
	}
	return keys
}

// callerKeyDigest returns the digest of the caller key in lower case, the form used in
// traces.
func callerKeyDigest(key config.CallerKey) trace.Digest {
	return trace.Digest(strings.ToLower(key.Spec.Digest))
}

func (c *Config) recordRates(view *config.View) {
	for _, rate := range view.Rates() {
		before, ok := c.previousOrEmpty().Lookup(resource.ID{Kind: resource.KindRate, Name: rate.Name})
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
	for _, drain := range c.previousOrEmpty().Drains() {
		current, ok := view.Lookup(resource.ID{Kind: resource.KindDrain, Name: drain.Name})
		if !ok || current.Metadata.Revision != drain.Revision {
			c.writer.Record(leaveEvent(trace.LeaveWithdrawn, c.previousOrEmpty(), drain))
		}
	}
	for _, drain := range view.Drains() {
		before, ok := c.previousOrEmpty().Lookup(resource.ID{Kind: resource.KindDrain, Name: drain.Name})
		if !ok || before.Metadata.Revision != drain.Revision {
			c.writer.Record(leaveEvent(trace.LeaveDrain, view, drain))
		}
	}
}

// leaveEvent returns the event for the start or the withdrawal of the drain of a failure
// domain or backend server.
func leaveEvent(phase trace.LeavePhase, view *config.View, drain config.Drain) trace.Leave {
	event := trace.Leave{Phase: phase, Domain: drain.Spec.FailureDomain, Revision: drain.Revision}
	if target := drain.Spec.BackendServer; target != nil {
		event.Server = trace.Server{Service: target.Service, Name: target.Name, Domain: serverDomain(view, target)}
	}
	return event
}

// serverDomain returns the failure domain of the backend server, or an empty string if
// the server isn't in the view.
func serverDomain(view *config.View, target *resource.BackendTarget) string {
	service, ok := view.Service(target.Service)
	if !ok {
		return ""
	}
	server, _ := service.Spec.Server(target.Name)
	return server.FailureDomain
}

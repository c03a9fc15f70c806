// Package callerkey authenticates callers by bearer token and removes the token
// from requests before they are forwarded. It stores SHA-256 digests only.
package callerkey

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fireflyfield/internal/resource"
)

// StaleAfter is the time without confirmation after which the VM can't tell
// whether its keys are current.
const StaleAfter = 5 * time.Second

// CheckInterval is the longest time between calls of Check.
const CheckInterval = time.Second

// Verdict is the result of Admit.
type Verdict int

// The verdicts.
const (
	// Unknown means that no CallerKey has the token's digest, or that more than
	// one has it, so that the workspace is not certain.
	Unknown Verdict = iota
	// Admitted means that the request may run for Admission.Workspace.
	Admitted
	// ServiceNotAllowed means that the key is valid but not for this service.
	ServiceNotAllowed
	// Stale means that the workspace refuses requests while the keys may be out of
	// date.
	Stale
)

// Admission is what an admitted request may do.
type Admission struct {
	Workspace string
	// CallerKey is the name of the CallerKey resource.
	CallerKey string
	// Withdrawn is closed when the key no longer allows what it did. The request
	// and its stream are cut then.
	Withdrawn <-chan struct{}
}

// Keyring holds the caller keys of one VM. Admit takes no lock.
type Keyring struct {
	// mu serializes writers.
	mu       sync.Mutex
	revision uint64
	table    atomic.Pointer[table]
	// confirmed is the time for which the keys are known to be current, in
	// nanoseconds since origin.
	confirmed atomic.Int64
	origin    time.Time
}

type digest [sha256.Size]byte

// table is immutable after it is published.
type table struct {
	// keys is indexed by the first eight bytes of the digest; the rest is compared
	// in constant time.
	keys map[uint64][]*key
}

// key is one CallerKey with the limits of its workspace applied.
type key struct {
	name      string
	digest    digest
	workspace string
	services  scope
	policy    resource.StaleKeyPolicy
	withdrawn chan struct{}
}

// scope is a set of services; the zero value allows none.
type scope struct {
	all   bool
	names []string
}

func (s scope) allows(service string) bool {
	return s.all || slices.Contains(s.names, service)
}

// covers reports whether everything that other allows is allowed.
func (s scope) covers(other scope) bool {
	if s.all || other.all {
		return s.all
	}
	for _, name := range other.names {
		if !s.allows(name) {
			return false
		}
	}
	return true
}

func scopeOf(workspace, callerKey []string) scope {
	switch {
	case len(workspace) == 0 && len(callerKey) == 0:
		return scope{all: true}
	case len(workspace) == 0:
		return scope{names: callerKey}
	case len(callerKey) == 0:
		return scope{names: workspace}
	}
	var both []string
	for _, name := range callerKey {
		if slices.Contains(workspace, name) {
			both = append(both, name)
		}
	}
	return scope{names: both}
}

// NewKeyring returns an empty keyring whose keys count as stale.
func NewKeyring(now time.Time) *Keyring {
	k := &Keyring{origin: now}
	k.confirmed.Store(int64(-StaleAfter) - 1)
	k.table.Store(&table{})
	return k
}

// Update replaces the keys with those of the revision and closes Withdrawn of
// every key that is gone or allows less. A revision below the last is ignored.
func (k *Keyring) Update(revision uint64, resources []resource.Resource) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if revision < k.revision {
		return
	}
	k.revision = revision
	next := build(resources)
	k.replace(next)
}

func (k *Keyring) replace(next *table) {
	old := k.table.Load()
	var cut []*key
	for _, bucket := range old.keys {
		for _, former := range bucket {
			current := next.find(former.digest)
			if current != nil && current.continues(former) {
				current.withdrawn = former.withdrawn
			} else {
				cut = append(cut, former)
			}
		}
	}
	k.table.Store(next)
	// Closed after the new table is visible, so that a caller that is cut can't be
	// admitted again by the old one.
	for _, former := range cut {
		close(former.withdrawn)
	}
}

// continues reports whether streams admitted by the former key may go on.
func (c *key) continues(former *key) bool {
	return c.name == former.name && c.workspace == former.workspace && c.services.covers(former.services)
}

func build(resources []resource.Resource) *table {
	workspaces := make(map[string]*resource.WorkspaceSpec)
	for _, r := range resources {
		if spec, ok := r.Spec.(*resource.WorkspaceSpec); ok {
			workspaces[r.Metadata.Name] = spec
		}
	}
	t := &table{keys: make(map[uint64][]*key)}
	ambiguous := make(map[digest]bool)
	for _, r := range resources {
		spec, ok := r.Spec.(*resource.CallerKeySpec)
		if !ok || workspaces[spec.Workspace] == nil {
			continue
		}
		added, ok := newKey(r.Metadata.Name, spec, workspaces[spec.Workspace])
		if !ok {
			continue
		}
		if t.find(added.digest) != nil {
			ambiguous[added.digest] = true
			continue
		}
		t.keys[added.digest.prefix()] = append(t.keys[added.digest.prefix()], added)
	}
	for d := range ambiguous {
		t.remove(d)
	}
	return t
}

func newKey(name string, spec *resource.CallerKeySpec, workspace *resource.WorkspaceSpec) (*key, bool) {
	decoded, err := hex.DecodeString(spec.Digest)
	if err != nil || len(decoded) != sha256.Size {
		return nil, false
	}
	return &key{
		name: name, digest: digest(decoded), workspace: spec.Workspace,
		services: scopeOf(workspace.Services, spec.Services), policy: workspace.OnStaleKeys,
		withdrawn: make(chan struct{}),
	}, true
}

func (d digest) prefix() uint64 { return binary.BigEndian.Uint64(d[:8]) }

func (t *table) find(d digest) *key {
	var found *key
	for _, candidate := range t.keys[d.prefix()] {
		if subtle.ConstantTimeCompare(candidate.digest[:], d[:]) == 1 {
			found = candidate
		}
	}
	return found
}

func (t *table) remove(d digest) {
	bucket := t.keys[d.prefix()]
	t.keys[d.prefix()] = slices.DeleteFunc(bucket, func(k *key) bool { return k.digest == d })
}

// Admit looks the token up and decides whether it may call the service.
func (k *Keyring) Admit(token, service string, now time.Time) (Admission, Verdict) {
	found := k.table.Load().find(sha256.Sum256([]byte(token)))
	if found == nil {
		return Admission{}, Unknown
	}
	if found.policy == resource.StaleKeysRefuse && k.Stale(now) {
		return Admission{}, Stale
	}
	if !found.services.allows(service) {
		return Admission{}, ServiceNotAllowed
	}
	return Admission{Workspace: found.workspace, CallerKey: found.name, Withdrawn: found.withdrawn}, Admitted
}

// Package callerkey decides which workspace a caller's bearer token belongs to and
// which services it may call, and removes the token from requests before they are
// forwarded. It keeps only SHA-256 digests of tokens; reading the configuration,
// rate limits and answers to callers are left to other packages.
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

// StaleAfter is the time without confirmation after which a VM treats its caller
// keys as possibly out of date.
const StaleAfter = 5 * time.Second

// StaleCheckInterval is the longest time allowed between two calls of
// WithdrawIfStale.
const StaleCheckInterval = time.Second

// Verdict tells whether Keyring.Admit admitted a request and, if not, why.
type Verdict int

// Verdicts of Keyring.Admit.
const (
	// Unknown means that no CallerKey resource of an existing workspace has the
	// token's digest, or that several have it, which leaves the workspace ambiguous.
	Unknown Verdict = iota
	// Admitted means that the request may run for Admission.Workspace.
	Admitted
	// ServiceNotAllowed means that the key is valid but not for this service.
	ServiceNotAllowed
	// Stale means that the keys are stale and the workspace refuses requests while
	// they are.
	Stale
)

// Admission identifies the workspace and the caller key of an admitted request.
type Admission struct {
	Workspace string
	// CallerKey is the name of the CallerKey resource.
	CallerKey string
	// Withdrawn is closed when the key is removed, moves to another workspace, allows
	// fewer services than before or, in a workspace that refuses stale keys, becomes
	// stale. The request and its stream must be ended then.
	Withdrawn <-chan struct{}
}

// Keyring holds the caller keys of one VM. It is safe for concurrent use; Admit
// takes no lock.
type Keyring struct {
	// mu serializes the functions that replace the table.
	mu       sync.Mutex
	revision uint64
	table    atomic.Pointer[table]
	// confirmed is the latest time at which the keys were known to be current, in
	// nanoseconds since origin.
	confirmed atomic.Int64
	origin    time.Time
}

type digest [sha256.Size]byte

// table is an index of the caller keys. It is immutable after it is published.
type table struct {
	// byPrefix is indexed by the first eight bytes of the digest. Keys in a bucket
	// are compared by their whole digest in constant time.
	byPrefix map[uint64][]*key
}

// key is one CallerKey resource, restricted to the services of its workspace.
type key struct {
	name      string
	digest    digest
	workspace string
	services  serviceSet
	policy    resource.StaleKeyPolicy
	withdrawn chan struct{}
}

// serviceSet is the set of services that a key may call. The zero value is empty.
type serviceSet struct {
	all   bool
	names []string
}

func (s serviceSet) allows(service string) bool {
	return s.all || slices.Contains(s.names, service)
}

// covers reports whether s allows every service that other allows.
func (s serviceSet) covers(other serviceSet) bool {
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

// allowedServices returns the services allowed by both lists. An empty list allows
// every service.
func allowedServices(workspace, callerKey []string) serviceSet {
	switch {
	case len(workspace) == 0 && len(callerKey) == 0:
		return serviceSet{all: true}
	case len(workspace) == 0:
		return serviceSet{names: callerKey}
	case len(callerKey) == 0:
		return serviceSet{names: workspace}
	}
	var both []string
	for _, name := range callerKey {
		if slices.Contains(workspace, name) {
			both = append(both, name)
		}
	}
	return serviceSet{names: both}
}

// NewKeyring returns an empty keyring that is stale until the first Confirm.
func NewKeyring(now time.Time) *Keyring {
	k := &Keyring{origin: now}
	k.confirmed.Store(int64(-StaleAfter) - 1)
	k.table.Store(&table{})
	return k
}

// Update replaces the keys with those of the given revision of the configuration. It
// closes Admission.Withdrawn for every key that is gone, has moved to another
// workspace or allows fewer services. A revision below the last one is ignored.
func (k *Keyring) Update(revision uint64, resources []resource.Resource) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if revision < k.revision {
		return
	}
	k.revision = revision
	next := buildTable(resources)
	k.replace(next)
}

// replace publishes the next table and withdraws the keys that it doesn't cover.
func (k *Keyring) replace(next *table) {
	previous := k.table.Load()
	var withdrawn []*key
	for _, bucket := range previous.byPrefix {
		for _, old := range bucket {
			current := next.find(old.digest)
			if current != nil && current.covers(old) {
				current.withdrawn = old.withdrawn
			} else {
				withdrawn = append(withdrawn, old)
			}
		}
	}
	k.table.Store(next)
	// The channels are closed after the new table is visible, so that a caller whose
	// stream is ended can't be admitted again by the old table.
	for _, old := range withdrawn {
		close(old.withdrawn)
	}
}

// covers reports whether k still allows everything that old allowed, so that
// requests admitted with old may continue.
func (k *key) covers(old *key) bool {
	return k.name == old.name && k.workspace == old.workspace && k.services.covers(old.services)
}

// buildTable indexes the caller keys among the resources. It skips keys without a
// valid digest or without a workspace, and all keys that share a digest.
func buildTable(resources []resource.Resource) *table {
	workspaces := make(map[string]*resource.WorkspaceSpec)
	for _, r := range resources {
		if spec, ok := r.Spec.(*resource.WorkspaceSpec); ok {
			workspaces[r.Metadata.Name] = spec
		}
	}
	t := &table{byPrefix: make(map[uint64][]*key)}
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
		t.byPrefix[added.digest.prefix()] = append(t.byPrefix[added.digest.prefix()], added)
	}
	for d := range ambiguous {
		t.remove(d)
	}
	return t
}

// newKey converts a CallerKey resource of the workspace. It returns false if the
// digest is not a SHA-256 digest in hexadecimal.
func newKey(name string, spec *resource.CallerKeySpec, workspace *resource.WorkspaceSpec) (*key, bool) {
	decoded, err := hex.DecodeString(spec.Digest)
	if err != nil || len(decoded) != sha256.Size {
		return nil, false
	}
	return &key{
		name: name, digest: digest(decoded), workspace: spec.Workspace,
		services: allowedServices(workspace.Services, spec.Services), policy: workspace.OnStaleKeys,
		withdrawn: make(chan struct{}),
	}, true
}

func (d digest) prefix() uint64 { return binary.BigEndian.Uint64(d[:8]) }

// find returns the key with the digest, or nil.
func (t *table) find(d digest) *key {
	var found *key
	for _, candidate := range t.byPrefix[d.prefix()] {
		if subtle.ConstantTimeCompare(candidate.digest[:], d[:]) == 1 {
			found = candidate
		}
	}
	return found
}

func (t *table) remove(d digest) {
	bucket := t.byPrefix[d.prefix()]
	t.byPrefix[d.prefix()] = slices.DeleteFunc(bucket, func(k *key) bool { return k.digest == d })
}

// Admit decides whether a caller with the token may call the service at the time
// now. The Admission is empty unless the verdict is Admitted.
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

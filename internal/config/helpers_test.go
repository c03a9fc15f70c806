package config

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"

	"fireflyfield/internal/platform"
	"fireflyfield/internal/resource"

	"github.com/google/uuid"
	"go.uber.org/zap"
)

func id(n uint64) uuid.UUID {
	var u uuid.UUID
	u[0] = 1
	binary.BigEndian.PutUint64(u[8:], n)
	return u
}

func domain(name string) resource.Resource {
	return resource.Resource{Metadata: resource.Metadata{Name: name}, Spec: &resource.FailureDomainSpec{}}
}

func service(name string, servers ...string) resource.Resource {
	spec := &resource.ServiceSpec{Key: &resource.KeySource{PathSegment: 1}, Slices: 16}
	for i, server := range servers {
		address := fmt.Sprintf("127.0.0.1:%d", 9000+i)
		spec.BackendServers = append(spec.BackendServers, resource.BackendServer{Name: server, Address: address, FailureDomain: "plateau"})
	}
	return resource.Resource{Metadata: resource.Metadata{Name: name}, Spec: spec}
}

func workspace(name string) resource.Resource {
	return resource.Resource{Metadata: resource.Metadata{Name: name}, Spec: &resource.WorkspaceSpec{}}
}

func callerKey(name, owner string, digit int) resource.Resource {
	digest := strings.Repeat(fmt.Sprintf("%02x", digit), 32)
	return resource.Resource{Metadata: resource.Metadata{Name: name}, Spec: &resource.CallerKeySpec{Workspace: owner, Digest: digest}}
}

func drain(name, service, server string) resource.Resource {
	target := &resource.BackendTarget{Service: service, Name: server}
	return resource.Resource{Metadata: resource.Metadata{Name: name}, Spec: &resource.DrainSpec{BackendServer: target}}
}

func put(t interface{ Fatal(...any) }, r resource.Resource, base uint64) Change {
	change, err := Put(r, base)
	if err != nil {
		t.Fatal(err)
	}
	return change
}

func ref(kind resource.Kind, name string) resource.ID { return resource.ID{Kind: kind, Name: name} }

// apply replays one new record with the changes.
func apply(s *State, changes ...Change) Result {
	offset := s.Position() + 1
	return s.Apply(offset, NewRecord(id(offset), offset-1, changes...))
}

func refusedFor(r Result) Reason {
	if r.Outcome.Refusal == nil {
		return ""
	}
	return r.Outcome.Refusal.Reason
}

func snapshotOf(t interface{ Fatal(...any) }, s *State) string {
	_, data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// startVM runs a follower until the context ends.
func startVM(ctx context.Context, log platform.Log, seed uint64) *Follower {
	f := NewFollower(log, NewState(), zap.NewNop(), rand.New(rand.NewPCG(seed, 1)))
	go f.Run(ctx)
	return f
}

func withDigest(key resource.Resource, n int) resource.Resource {
	key.Spec.(*resource.CallerKeySpec).Digest = fmt.Sprintf("%064x", n+1<<32)
	return key
}

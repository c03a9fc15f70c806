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

// recordID returns a record identifier made from the number.
func recordID(n uint64) uuid.UUID {
	var u uuid.UUID
	u[0] = 1
	binary.BigEndian.PutUint64(u[8:], n)
	return u
}

func failureDomain(name string) resource.Resource {
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

func callerKey(name, workspaceName string, digestByte int) resource.Resource {
	digest := strings.Repeat(fmt.Sprintf("%02x", digestByte), 32)
	return resource.Resource{Metadata: resource.Metadata{Name: name}, Spec: &resource.CallerKeySpec{Workspace: workspaceName, Digest: digest}}
}

func drain(name, service, server string) resource.Resource {
	target := &resource.BackendTarget{Service: service, Name: server}
	return resource.Resource{Metadata: resource.Metadata{Name: name}, Spec: &resource.DrainSpec{BackendServer: target}}
}

func putChange(t interface{ Fatal(...any) }, r resource.Resource, base uint64) Change {
	change, err := Put(r, base)
	if err != nil {
		t.Fatal(err)
	}
	return change
}

func idOf(kind resource.Kind, name string) resource.ID { return resource.ID{Kind: kind, Name: name} }

// applyChanges replays the changes as one record at the next offset.
func applyChanges(s *State, changes ...Change) Result {
	offset := s.Position() + 1
	return s.Apply(offset, NewRecord(recordID(offset), offset-1, changes...))
}

// refusalReason returns an empty reason if the record was accepted.
func refusalReason(r Result) Reason {
	if r.Outcome.Refusal == nil {
		return ""
	}
	return r.Outcome.Refusal.Reason
}

// encodedState returns the bytes of a snapshot of the state, for comparison.
func encodedState(t interface{ Fatal(...any) }, s *State) string {
	_, data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// startFollower runs the follower of a VM until the context ends.
func startFollower(ctx context.Context, log platform.Log, seed uint64) *Follower {
	f := NewFollower(log, NewState(), zap.NewNop(), rand.New(rand.NewPCG(seed, 1)))
	go f.Run(ctx)
	return f
}

// withDigest gives the caller key a digest that is unique for n.
func withDigest(key resource.Resource, n int) resource.Resource {
	key.Spec.(*resource.CallerKeySpec).Digest = fmt.Sprintf("%064x", n+1<<32)
	return key
}

package callerkey

import (
	"fmt"
	"testing"
	"time"

	"fireflyfield/internal/capacity/statesize"
	"fireflyfield/internal/resource"
)

// BenchmarkKeyring measures the memory of the digest table. The resources are not
// counted, since the configuration holds them anyway.
func BenchmarkKeyring(b *testing.B) {
	for _, keys := range []int{1000, 4000, 16_000} {
		resources := []resource.Resource{{Metadata: resource.Metadata{Name: "w"}, Spec: &resource.WorkspaceSpec{}}}
		for n := range keys {
			spec := &resource.CallerKeySpec{Workspace: "w", Digest: fmt.Sprintf("%064x", n)}
			resources = append(resources, resource.Resource{Metadata: resource.Metadata{Name: fmt.Sprintf("k%d", n)}, Spec: spec})
		}
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			statesize.Report(b, func() any {
				ring := NewKeyring(time.Unix(0, 0))
				ring.Update(1, resources)
				return ring
			})
		})
	}
}

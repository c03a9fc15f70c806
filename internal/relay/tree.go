package relay

import (
	"slices"

	"fireflyfield/internal/share"
)

// maxChildren is the number of VMs of one failure domain that poll the same VM. Small
// links carry about 1 MB/s, and a configuration has about 30 kB.
const maxChildren = 3

// Parent returns the address of the VM that the given VM polls. The members of a failure
// domain form a tree whose root polls the lease holder, so that each record is sent to a
// failure domain once. A VM that is not a member polls the lease holder, whose address is
// holder.
func Parent(members []share.Member, vm, domain, holder string) string {
	var local []share.Member
	for _, m := range members {
		if m.Domain == domain && m.Address != holder {
			local = append(local, m)
		}
	}
	i := slices.IndexFunc(local, func(m share.Member) bool { return m.VM == vm })
	if i <= 0 {
		return holder
	}
	return local[(i-1)/maxChildren].Address
}

package relay

import (
	"slices"

	"fireflyfield/internal/share"
)

// fanOut is the number of VMs of one failure domain that poll the same VM. Small
// links take about 1 MB/s, and a configuration has some 30 kB.
const fanOut = 3

// Parent returns the address of the VM that a VM polls. The VMs of a failure domain
// form a tree whose root polls the holder of the lease, so that news cross the
// border of a failure domain once. A VM that is not listed polls the holder.
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
	return local[(i-1)/fanOut].Address
}

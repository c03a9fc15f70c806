package relay

import (
	"cmp"
	"slices"

	"fireflyfield/internal/share"
)

const (
	// minFanOut and maxFanOut limit the number of VMs that poll the same VM. A VM with the
	// smallest link, about 1 MB/s, can pass a configuration of 30 kB on to three others.
	minFanOut = 3
	maxFanOut = 16
	// linkPerChild is the bandwidth of a VM for each VM that polls it, in Mbit/s.
	linkPerChild = 8
	// domainReaders is the number of VMs of a failure domain that read the shared log for
	// the others when the lease holder or their relay fails.
	domainReaders = 3
)

// FanOut returns the number of VMs that may poll a VM with a link of the given bandwidth in
// Mbit/s.
func FanOut(linkMbps float64) int { return min(maxFanOut, max(minFanOut, int(linkMbps/linkPerChild))) }

// localMembers returns the members of a failure domain without the lease holder, those that
// the most VMs may poll first.
func localMembers(members []share.Member, domain, holder string) []share.Member {
	var local []share.Member
	for _, m := range members {
		if m.Domain == domain && m.Address != holder {
			local = append(local, m)
		}
	}
	slices.SortStableFunc(local, func(a, b share.Member) int { return cmp.Compare(b.FanOut, a.FanOut) })
	return local
}

// Parent returns the address of the VM that the given VM polls. The members of a failure
// domain form a tree whose root polls the lease holder, so that each record is sent to a
// failure domain once. A VM that is not a member polls the lease holder, whose address is
// holder.
func Parent(members []share.Member, vm, domain, holder string) string {
	local := localMembers(members, domain, holder)
	i := slices.IndexFunc(local, func(m share.Member) bool { return m.VM == vm })
	if i <= 0 {
		return holder
	}
	// The first member has the next ones as its children, the second those after them.
	lastChild := 0
	for _, parent := range local {
		if lastChild += max(minFanOut, parent.FanOut); i <= lastChild {
			return parent.Address
		}
	}
	return holder
}

// Fallbacks returns the addresses that the given VM polls when its parent fails, in this
// order: the first members of its failure domain. One that is itself among them only polls
// those before it, so that the first one reads the shared log.
func Fallbacks(members []share.Member, vm, domain, holder string) []string {
	var addresses []string
	for _, m := range localMembers(members, domain, holder) {
		if m.VM == vm || len(addresses) == domainReaders {
			break
		}
		addresses = append(addresses, m.Address)
	}
	return addresses
}

package ownership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fireflyfield/internal/keyspace"
	"fireflyfield/internal/placement"
)

const (
	// drainBatches is the number of batches in which a drained failure domain
	// transfers its slices; only one batch has no owner at a time.
	drainBatches = 8
	// homeBalanceInterval is the time between steps that transfer slices to the
	// failure domain that is furthest below its fair count; each step moves at most
	// one part in homeBalanceSteps of that count, but one slice or more.
	homeBalanceInterval = time.Second
	homeBalanceSteps    = 20
	// surplusRatio and deficitRatio bound the number of slices of a failure domain
	// relative to its fair count, which is in proportion to its backend servers.
	// Slices move only from a domain at or above the first to one at or below the
	// second.
	surplusRatio = 1.1
	deficitRatio = 0.9
)

// sliceTransfer is the transfer of one slice to another failure domain.
type sliceTransfer struct {
	to string
	// epoch is the home epoch at which the slice is released.
	epoch uint64
	// appended is set once the release was appended.
	appended bool
}

// updateHomes maintains the homes of all services: the first assignment, transfers to
// other failure domains and the takeover of slices from domains that are confirmed
// to be down.
func (d *Decider) updateHomes() {
	if d.authority() != authorityFromLog || !d.logAvailable() || !d.confirmedSince(HomesStream, d.lead.startedAt) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(d.lead.services)) {
		service := d.lead.services[name]
		if len(d.homes.Services[name]) == 0 {
			d.initHomes(service.config)
			continue
		}
		d.startTransfers(service)
		d.recordReleases(service)
		d.moveHomes(service.config)
	}
	if len(d.homes.Services[IdempotencyService]) > 0 {
		d.moveHomes(d.partitionsConfig())
	}
}

// initHomes assigns the slices of a service to failure domains for the first time.
func (d *Decider) initHomes(config ServiceConfig) {
	isInit := func(r Record) bool { return r.Init != nil && r.Init.Service == config.Name }
	if d.hasPendingAppend(isInit) {
		return
	}
	var domains []string
	for _, server := range config.Servers {
		domains = append(domains, server.Domain)
	}
	if len(domains) == 0 {
		return
	}
	slices.Sort(domains)
	domains = domains[:min(len(domains), MaxRecordUnits)]
	d.append(HomesStream, Record{Init: &Init{Service: config.Name, Slices: uint32(config.Slices), Domains: domains}})
}

// liveDomains returns the number of backend servers of each failure domain that is
// not drained.
func (d *Decider) liveDomains(config ServiceConfig) map[string]int {
	live := make(map[string]int)
	for _, server := range config.Servers {
		if _, drained := d.config.DrainedDomains[server.Domain]; !drained {
			live[server.Domain]++
		}
	}
	return live
}

// startTransfers starts the transfers that drain this failure domain or balance the
// homes.
func (d *Decider) startTransfers(service *keyedService) {
	if !d.takeoverDone(service) {
		return
	}
	live := d.liveDomains(service.config)
	if live[d.options.Domain] == 0 {
		d.transferAll(service, live)
		return
	}
	if d.now.Mono-service.excessCheckedAt >= homeBalanceInterval {
		service.excessCheckedAt = d.now.Mono
		d.transferExcess(service, live)
	}
}

// transferAll transfers every slice of this failure domain, one batch after the
// other.
func (d *Decider) transferAll(service *keyedService, live map[string]int) {
	targets := slices.Sorted(maps.Keys(live))
	if len(targets) == 0 {
		return
	}
	remaining := max(1, service.config.Slices/drainBatches) - len(service.transfers)
	for slice := range d.homes.Services[service.config.Name] {
		unit := keyspace.Unit(slice)
		if remaining <= 0 {
			return
		}
		if d.owns(service, unit) && service.transfers[unit] == nil {
			d.startTransfer(service, unit, placement.Rendezvous(unit, targets))
			remaining--
		}
	}
}

// transferExcess transfers slices to the failure domain with the lowest fill ratio
// if this domain has a surplus.
func (d *Decider) transferExcess(service *keyedService, live map[string]int) {
	counts := make(map[string]int)
	for _, home := range d.homes.Services[service.config.Name] {
		counts[home.Domain]++
	}
	servers := 0
	for _, n := range live {
		servers += n
	}
	fairCount := func(domain string) float64 {
		return float64(service.config.Slices*live[domain]) / float64(servers)
	}
	fillRatio := func(domain string) float64 { return float64(counts[domain]) / fairCount(domain) }
	target := slices.MinFunc(slices.Sorted(maps.Keys(live)), func(a, b string) int {
		return cmp.Compare(fillRatio(a), fillRatio(b))
	})
	self := d.options.Domain
	if fillRatio(self) < surplusRatio || fillRatio(target) > deficitRatio {
		return
	}
	excess := counts[self] - int(fairCount(self))
	step := max(1, int(fairCount(target))/homeBalanceSteps)
	for slice := range d.homes.Services[service.config.Name] {
		unit := keyspace.Unit(slice)
		if min(excess, step) <= 0 {
			return
		}
		if d.owns(service, unit) && service.transfers[unit] == nil {
			d.startTransfer(service, unit, target)
			excess--
			step--
		}
	}
}

func (d *Decider) startTransfer(service *keyedService, unit keyspace.Unit, to string) {
	home := d.homes.Home(service.config.Name, unit)
	service.transfers[unit] = &sliceTransfer{to: to, epoch: home.Epoch}
	d.blockUnit(service, unit)
}

// recordReleases records the release of slices in transfer that nobody holds any
// more and whose hot keys were merged back.
func (d *Decider) recordReleases(service *keyedService) {
	batches := make(map[Released][]keyspace.Unit)
	parents := d.hotParents(service)
	for unit, transfer := range service.transfers {
		if !transfer.appended && !parents[unit] && d.freeExcept(service, unit, "") {
			transfer.appended = true
			key := Released{Epoch: transfer.epoch, To: transfer.to}
			batches[key] = append(batches[key], unit)
		}
	}
	for _, destination := range sortedDestinations(batches) {
		units := batches[destination]
		slices.Sort(units)
		for chunk := range slices.Chunk(units, MaxRecordUnits) {
			d.append(DomainStream, Record{Release: &Release{
				Term: d.lead.term, Service: service.config.Name, To: destination.To, Epoch: destination.Epoch, Slices: chunk,
			}})
		}
	}
}

func sortedDestinations(batches map[Released][]keyspace.Unit) []Released {
	return slices.SortedFunc(maps.Keys(batches), func(a, b Released) int {
		return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.Epoch, b.Epoch))
	})
}

// hotParents returns the slices that contain a hot key.
func (d *Decider) hotParents(service *keyedService) map[keyspace.Unit]bool {
	parents := make(map[keyspace.Unit]bool)
	for unit := range d.state.Service(service.config.Name).Hot {
		parents[unit.Parent(service.config.Slices)] = true
	}
	return parents
}

// releaseAccepted ends the transfers whose release was read back.
func (d *Decider) releaseAccepted(release *Release) {
	service := d.lead.services[release.Service]
	if service == nil {
		return
	}
	for _, unit := range release.Slices {
		if service.transfers[unit] != nil {
			delete(service.transfers, unit)
			d.unblockUnit(service, unit)
		}
	}
}

// moveHomes appends the home records that are due: for slices whose release was
// read back, in this term or an earlier one, and for slices of failure domains that
// an operator confirmed to be down.
func (d *Decider) moveHomes(config ServiceConfig) {
	isHome := func(r Record) bool { return r.Home != nil && r.Home.Service == config.Name }
	if d.hasPendingAppend(isHome) {
		return
	}
	batches := make(map[Released][]keyspace.Unit)
	released := d.state.Service(config.Name).Released
	targets := slices.Sorted(maps.Keys(d.liveDomains(config)))
	for slice, home := range d.homes.Services[config.Name] {
		unit := keyspace.Unit(slice)
		if home.Domain == d.options.Domain && released[unit].Epoch >= home.Epoch {
			key := Released{Epoch: home.Epoch, To: released[unit].To}
			batches[key] = append(batches[key], unit)
		}
		if d.config.DrainedDomains[home.Domain] && home.Domain != d.options.Domain &&
			placement.Rendezvous(unit, targets) == d.options.Domain {
			key := Released{Epoch: home.Epoch, To: d.options.Domain}
			batches[key] = append(batches[key], unit)
		}
	}
	for _, destination := range sortedDestinations(batches) {
		for chunk := range slices.Chunk(batches[destination], MaxRecordUnits) {
			d.append(HomesStream, Record{Home: &Home{
				Service: config.Name, To: destination.To, Epoch: destination.Epoch, Slices: chunk,
			}})
		}
	}
}

// recordAccepted continues what waited for the accepted record to be read back.
func (d *Decider) recordAccepted(record Record, pending *pendingAppend) {
	switch {
	case record.Assign != nil && pending != nil:
		d.unitsRecorded(pending)
	case record.Hot != nil:
		d.hotAccepted(record.Hot)
	case record.Release != nil:
		d.releaseAccepted(record.Release)
	case record.Pairs != nil:
		d.pairsAccepted(record.Pairs)
	}
}

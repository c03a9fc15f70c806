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
	// leaveParts is the number of parts in which a drained domain gives its
	// slices away; only one part has no owner at a time.
	leaveParts = 8
	// returnInterval is the time between steps in which slices go to a failure
	// domain that has fewer than its part; each step moves 1 in 20 of the part.
	returnInterval = time.Second
	returnParts    = 20
	// homesUpper and homesLower are the bounds, relative to the part by number of
	// backend servers, outside which slices change their home.
	homesUpper = 1.1
	homesLower = 0.9
)

// leaveRun is a slice that is being given to another failure domain.
type leaveRun struct {
	to    string
	epoch uint64
	sent  bool
}

// pumpHomes keeps the homes of all services: the first assignment, releases and
// the take-over of slices from domains that are confirmed to be down.
func (d *Decider) pumpHomes() {
	if d.authority() != byLog || !d.logAnswers() || !d.confirmedAfter(HomesStream, d.lead.since) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(d.lead.services)) {
		run := d.lead.services[name]
		if len(d.homes.Services[name]) == 0 {
			d.initHomes(run.config)
			continue
		}
		d.startLeaves(run)
		d.pumpLeaves(run)
		d.moveHomes(run.config)
	}
	if len(d.homes.Services[IdempotencyService]) > 0 {
		d.moveHomes(d.partitionsConfig())
	}
}

func (d *Decider) initHomes(config ServiceConfig) {
	isInit := func(r Record) bool { return r.Init != nil && r.Init.Service == config.Name }
	if d.appending(isInit) {
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

// liveDomains returns the number of backend servers per domain that is not drained.
func (d *Decider) liveDomains(config ServiceConfig) map[string]int {
	live := make(map[string]int)
	for _, server := range config.Servers {
		if _, drained := d.config.DrainedDomains[server.Domain]; !drained {
			live[server.Domain]++
		}
	}
	return live
}

func (d *Decider) startLeaves(run *serviceRun) {
	if !d.takeoverDone(run) {
		return
	}
	live := d.liveDomains(run.config)
	if live[d.options.Domain] == 0 {
		d.leaveAll(run, live)
		return
	}
	if d.now.Mono-run.leaveAt >= returnInterval {
		run.leaveAt = d.now.Mono
		d.leaveExcess(run, live)
	}
}

// leaveAll gives every slice away, one part after the other.
func (d *Decider) leaveAll(run *serviceRun, live map[string]int) {
	targets := slices.Sorted(maps.Keys(live))
	if len(targets) == 0 {
		return
	}
	room := max(1, run.config.Slices/leaveParts) - len(run.leaves)
	for slice := range d.homes.Services[run.config.Name] {
		unit := keyspace.Unit(slice)
		if room <= 0 {
			return
		}
		if d.owns(run, unit) && run.leaves[unit] == nil {
			d.leave(run, unit, placement.Rendezvous(unit, targets))
			room--
		}
	}
}

// leaveExcess gives slices to the domain that has fewest for its part.
func (d *Decider) leaveExcess(run *serviceRun, live map[string]int) {
	counts := make(map[string]int)
	for _, home := range d.homes.Services[run.config.Name] {
		counts[home.Domain]++
	}
	servers := 0
	for _, n := range live {
		servers += n
	}
	part := func(domain string) float64 {
		return float64(run.config.Slices*live[domain]) / float64(servers)
	}
	ratio := func(domain string) float64 { return float64(counts[domain]) / part(domain) }
	target := slices.MinFunc(slices.Sorted(maps.Keys(live)), func(a, b string) int {
		return cmp.Compare(ratio(a), ratio(b))
	})
	self := d.options.Domain
	if ratio(self) < homesUpper || ratio(target) > homesLower {
		return
	}
	excess := counts[self] - int(part(self))
	step := max(1, int(part(target))/returnParts)
	for slice := range d.homes.Services[run.config.Name] {
		unit := keyspace.Unit(slice)
		if min(excess, step) <= 0 {
			return
		}
		if d.owns(run, unit) && run.leaves[unit] == nil {
			d.leave(run, unit, target)
			excess--
			step--
		}
	}
}

func (d *Decider) leave(run *serviceRun, unit keyspace.Unit, to string) {
	home := d.homes.Home(run.config.Name, unit)
	run.leaves[unit] = &leaveRun{to: to, epoch: home.Epoch}
	d.freeze(run, unit)
}

// pumpLeaves records the release of slices that nobody holds any more and whose
// hot keys were merged back.
func (d *Decider) pumpLeaves(run *serviceRun) {
	batches := make(map[Released][]keyspace.Unit)
	parents := d.hotParents(run)
	for unit, leave := range run.leaves {
		if !leave.sent && !parents[unit] && d.free(run, unit, "") {
			leave.sent = true
			key := Released{Epoch: leave.epoch, To: leave.to}
			batches[key] = append(batches[key], unit)
		}
	}
	for _, to := range sortedDestinations(batches) {
		units := batches[to]
		slices.Sort(units)
		for chunk := range slices.Chunk(units, MaxRecordUnits) {
			d.append(DomainStream, Record{Release: &Release{
				Term: d.lead.term, Service: run.config.Name, To: to.To, Epoch: to.Epoch, Slices: chunk,
			}})
		}
	}
}

func sortedDestinations(batches map[Released][]keyspace.Unit) []Released {
	return slices.SortedFunc(maps.Keys(batches), func(a, b Released) int {
		return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.Epoch, b.Epoch))
	})
}

func (d *Decider) hotParents(run *serviceRun) map[keyspace.Unit]bool {
	parents := make(map[keyspace.Unit]bool)
	for unit := range d.state.Service(run.config.Name).Hot {
		parents[unit.Parent(run.config.Slices)] = true
	}
	return parents
}

func (d *Decider) releaseAccepted(release *Release) {
	run := d.lead.services[release.Service]
	if run == nil {
		return
	}
	for _, unit := range release.Slices {
		if run.leaves[unit] != nil {
			delete(run.leaves, unit)
			d.thaw(run, unit)
		}
	}
}

// moveHomes writes the home records that are due: for slices whose release was
// read back, in this term or an earlier one, and for slices of domains that an
// operator confirmed to be down.
func (d *Decider) moveHomes(config ServiceConfig) {
	isHome := func(r Record) bool { return r.Home != nil && r.Home.Service == config.Name }
	if d.appending(isHome) {
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
	for _, to := range sortedDestinations(batches) {
		for chunk := range slices.Chunk(batches[to], MaxRecordUnits) {
			d.append(HomesStream, Record{Home: &Home{
				Service: config.Name, To: to.To, Epoch: to.Epoch, Slices: chunk,
			}})
		}
	}
}

// recordAccepted continues what waited for a record to be read back.
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

// Package router assembles a VM in route mode: it sends requests directly to backend
// servers and shares state with the other VMs through the shared log. It decides when
// the VM is ready, how it drains and which VM it polls; the routing of a request, the
// key range leases and the rate limits are left to the packages that it connects.
//
// Lock order: forward.Forwarder, then forward.Servers, then upstream.Pool; the
// locks of gossip.Node, directory.Directory, keylease.Table and share.Limiter are taken last, with
// no other lock acquired while they are held. No lock is held during I/O.
package router

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fireflyfield/internal/clock"
	"fireflyfield/internal/decisionlog"
	"fireflyfield/internal/directory"
	"fireflyfield/internal/fleet"
	"fireflyfield/internal/forward"
	"fireflyfield/internal/front"
	"fireflyfield/internal/gossip"
	"fireflyfield/internal/keylease"
	"fireflyfield/internal/loadshare"
	"fireflyfield/internal/logfield"
	"fireflyfield/internal/membudget"
	"fireflyfield/internal/metrics"
	"fireflyfield/internal/peer"
	"fireflyfield/internal/quarantine"
	"fireflyfield/internal/reach"
	"fireflyfield/internal/relay"
	"fireflyfield/internal/share"
	"fireflyfield/internal/sharedlog"
	"fireflyfield/internal/upstream"
)

// Options holds the settings of a VM and the adapters to its environment.
type Options struct {
	VM       string
	Instance string // unique to each process
	Domain   string
	// FirstStart is set if no VM of the fleet has run before.
	FirstStart bool

	FrontListen   string
	ReadyListen   string
	ReadyPath     string
	MetricsListen string
	PeerListen    string // HOST:PORT at which other VMs reach this one
	LoadListen    string // HOST:PORT, UDP, for load reports; one above the port of PeerListen
	GossipListen  string // HOST:PORT, UDP, for notices; two above the port of PeerListen
	DetourListen  string // HOST:PORT for requests of other VMs; three above the port of PeerListen

	// SourceIP is the local address of connections to backend servers; nil leaves the choice to
	// the system.
	SourceIP net.IP

	Log sharedlog.Log
	// MaxRecordBytes is the size limit of a record of the shared log.
	MaxRecordBytes int
	Sources        directory.Sources
	LeaseTopic     string
	ReportTopic    string
	Granter        keylease.Granter
	Protocol       Protocol

	// MemoryBytes is the memory limit of the process.
	MemoryBytes    int64
	MaxConnections int
	RelayFanOut    int           // number of VMs that may poll this one
	Grace          time.Duration // time from the stop signal to the exit of the process
	MaxStaleness   time.Duration // time within which what others write must be in force here
	DrainWithin    time.Duration // time within which a leaving backend server must get no further requests
	RevokeWithin   time.Duration // time within which a withdrawn caller key stops working
	RetryRatio     float64       // fleet-wide ratio of retries to requests
	RetrySlack     float64       // number of retries allowed beyond RetryRatio
	Cold           forward.ColdLimits
	QuotaTolerance share.Tolerance

	Logger *zap.Logger
}

// Protocol defines the headers and responses that callers and backend servers use.
type Protocol interface {
	forward.Protocol
	upstream.Responder
}

const (
	// revokeMargin is subtracted from the time within which a withdrawn caller key must
	// stop working. It covers the network delay of a request on its way to the VM.
	revokeMargin = 400 * time.Millisecond
	// maxReadyAge is the age of the configuration above which the VM reports itself as
	// not ready, since other VMs may have a newer one.
	maxReadyAge = 3500 * time.Millisecond
	// idleSweepInterval is the time between two removals of idle connections.
	idleSweepInterval = 2 * time.Second
	// drainDelay is the time from the stop signal for which the VM stops at the earliest.
	// The platform checks readiness once a second and stops sending connections after two
	// failed checks.
	drainDelay = 2800 * time.Millisecond
	// requestMemoryFraction and responseMemoryFraction are the parts of the memory limit that
	// the bodies of requests and of responses may hold. They have budgets of their own, so
	// that many uploads don't keep responses from being read. The rest is for the program
	// and for garbage that is not collected yet.
	requestMemoryFraction  = 0.2
	responseMemoryFraction = 0.2
	// stopMargin is how long before the end of the grace period the process exits, and
	// answerMargin how long before that the requests in progress are ended. Of a short grace
	// period they take the given parts: until its last sixth no request may be broken off.
	stopMargin          = 300 * time.Millisecond
	answerMargin        = 100 * time.Millisecond
	stopMarginDivisor   = 20
	answerMarginDivisor = 60
)

// Router is one VM in route mode with its listeners, followers and background tasks.
type Router struct {
	options       Options
	clock         clock.Clock
	log           *zap.Logger
	directory     *directory.Directory
	table         *keylease.Table
	limiter       *share.Limiter
	servers       *forward.Servers
	forwarder     *forward.Forwarder
	quarantine    *quarantine.Detector
	reach         *reach.Monitor
	unreachable   unreachableVMs
	gossip        *gossip.Node
	gossipPeers   atomic.Pointer[[]netip.AddrPort]
	lessor        *keylease.Lessor
	metrics       *metrics.Metrics
	collector     *collector
	peers         *peer.Server
	relay         *relay.Client
	followers     []*directory.Follower
	front         *front.Server
	detourFront   *front.Server // for requests of VMs without paths to the backend servers
	stopping      atomic.Bool
	isLeaseHolder atomic.Bool
	members       atomic.Pointer[share.Members]
	graceNs       atomic.Int64 // current Options.Grace, which Reload may change, in ns
}

// New builds a Router from the options. Run starts it.
func New(o Options) (*Router, error) {
	r := &Router{options: o, clock: clock.System{}, log: o.Logger}
	r.graceNs.Store(int64(o.Grace))
	r.directory = directory.New(r.clock, r.log, o.Sources)
	r.table = keylease.NewTable(r.log)
	r.limiter = share.NewLimiter(o.VM, o.QuotaTolerance)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	r.servers = forward.NewServers(r.clock, o.Domain, o.Cold, o.Protocol, random, r.limiter.VMCount)
	r.servers.KeyedLeaveGrace = o.DrainWithin
	r.servers.Log = r.log
	r.servers.Source = o.SourceIP
	r.servers.Memory = membudget.New(int64(responseMemoryFraction * float64(o.MemoryBytes)))
	m, err := metrics.New(r.metricsState)
	if err != nil {
		return nil, err
	}
	r.metrics = m
	r.reach = reach.NewMonitor()
	r.gossip = r.newGossip()
	r.servers.PublishLimit = r.publishLimit
	r.quarantine = quarantine.NewDetector(r.log, crashPublisher{r.gossip})
	r.forwarder = forward.New(forward.Options{
		Quarantine: r.quarantine, Reach: r.reach,
		Detours: forward.NewDetours(r.clock, o.Protocol, r.servers.Memory, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), r.helpers),
		Clock:   r.clock, Directory: r.directory, Table: r.table, Servers: r.servers, Limiter: r.limiter,
		Protocol: o.Protocol, Observer: decisionlog.NewRequests(r.log, r.clock, r.countRequest),
		RetryRatio: o.RetryRatio, RetrySlack: o.RetrySlack, MaxConfigAge: o.RevokeWithin - revokeMargin,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	r.collector = newCollector(r)
	r.lessor = keylease.NewLessor(keylease.LessorOptions{
		Log: o.Log, Topic: o.LeaseTopic, Granter: o.Granter, Clock: r.clock, Table: r.table,
		Instance: o.Instance, Address: o.PeerListen, FirstStart: o.FirstStart, Preferred: r.isPreferredHolder, Unfit: r.isUnfitHolder, Logger: r.log, ConfigKnown: r.configKnown, Input: r.collector.assignmentInput, Wake: r.directory.Changed,
		Notices: r.collector.encodeNotices, OnHeartbeat: r.onHeartbeat, OnMembers: r.onMembers, OnLeaseChange: r.onLeaseChange,
	})
	r.setUpRelay()
	requestMemory := membudget.New(int64(requestMemoryFraction * float64(o.MemoryBytes)))
	r.front = &front.Server{
		Handler: r.forwarder, Clock: r.clock, Log: r.log, Limits: r.limits, MaxConnections: o.MaxConnections, Memory: requestMemory,
	}
	r.detourFront = &front.Server{
		Handler: forward.PeerHandler{Forwarder: r.forwarder}, Clock: r.clock, Log: r.log, Limits: r.limits,
		MaxConnections: o.MaxConnections / 2, Memory: requestMemory, // half as many again as callers have
	}
	return r, nil
}

// setUpRelay sets up the followers of the topics of the shared log, and the relay
// through which most VMs get records without reading the log themselves.
func (r *Router) setUpRelay() {
	identity := peer.Identity{Version: peer.Version, VM: r.options.VM, Instance: r.options.Instance, FailureDomain: r.options.Domain}
	r.followers = append(r.directory.Followers(), r.lessor.Follower())
	cache := relay.NewCache(r.clock.Now, map[string]func(before, after sharedlog.Record) bool{
		r.options.Sources.BackendTopic: r.options.Sources.Unchanged,
	})
	cache.OmitUnreadable(r.options.Sources.BackendTopic, r.options.Sources.Unreadable)
	for _, f := range r.followers {
		cache.Wrap(f)
	}
	r.peers = peer.NewServer(identity, "", r.log)
	r.relay = &relay.Client{
		Peers: peer.NewClient(identity, ""), Followers: r.followers, AddressFollower: r.lessor.Follower(), Address: r.relayAddress, Fallbacks: r.relayFallbacks,
		Reports: r.collector.takeDueReports, ReturnReports: r.collector.returnReports, MaxStaleness: r.options.MaxStaleness, Now: r.clock.Now, Log: r.log,
	}
	r.relay.AttachFollowers()
	relay.Serve(r.peers, cache, r.collector.receive, r.relay.ReadsFail)
}

// relayAddress returns the address of the VM to poll, or "" if none is known. self is
// true for the lease holder, which reads the shared log for all VMs.
func (r *Router) relayAddress() (address string, self bool) {
	current := r.table.Current()
	if r.isLeaseHolder.Load() || current != nil && current.Holder == r.options.Instance {
		return "", true
	}
	// A holder with the address of this VM is an earlier process of this VM.
	if current == nil || current.Holder == "" || current.Address == r.options.PeerListen {
		return "", false
	}
	if members := r.members.Load(); members != nil {
		return relay.Parent(members.List, r.options.VM, r.options.Domain, current.Address), false
	}
	return current.Address, false
}

// minPreferredFanOut is the fan-out from which on a VM counts as capable before it knows the
// other members.
const minPreferredFanOut = 8

// isPreferredHolder reports whether this VM is among the most capable members, by the
// bandwidth of its link.
func (r *Router) isPreferredHolder() bool {
	members := r.members.Load()
	if members == nil || len(members.List) == 0 {
		return r.options.RelayFanOut >= minPreferredFanOut
	}
	most := 0
	for _, m := range members.List {
		most = max(most, m.FanOut)
	}
	return r.options.RelayFanOut >= most
}

// isUnfitHolder reports whether this VM has no path to the backend servers while another VM may
// have one.
func (r *Router) isUnfitHolder() bool { return r.reach.Cut() && len(r.helpers()) > 0 }

// relayFallbacks returns the addresses of the VMs to poll when the relay fails.
func (r *Router) relayFallbacks() []string {
	members, current := r.members.Load(), r.table.Current()
	if members == nil || current == nil {
		return nil
	}
	return relay.Fallbacks(members.List, r.options.VM, r.options.Domain, current.Address)
}

// onMembers applies the list of members that the lease holder published.
func (r *Router) onMembers(content []byte) {
	var members share.Members
	if err := share.Decode(content, &members); err != nil {
		r.log.Error("list of members cannot be decoded", logfield.Error(err))
		return
	}
	r.members.Store(&members)
	r.setGossipPeers(members.List)
	r.limiter.SetMembers(members)
}

// Run opens the listeners, serves requests until ctx ends and then drains the VM. It
// returns an error if a required listener cannot be opened.
func (r *Router) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp4", r.options.FrontListen)
	if err != nil {
		return errors.Wrap(err, "open the listener for callers")
	}
	defer callers.Close()
	if err := r.serveHTTP(r.options.ReadyListen, r.readyMux()); err != nil {
		return errors.Wrap(err, "open the readiness listener")
	}
	if err := r.serveHTTP(r.options.MetricsListen, r.metricsMux()); err != nil {
		// A VM without metrics can still serve callers.
		r.log.Error("metrics listener cannot be opened", zap.String("address", r.options.MetricsListen), logfield.Error(err))
	}
	peers, err := net.Listen("tcp4", r.options.DetourListen)
	if err != nil {
		return errors.Wrap(err, "open the listener for requests of other VMs")
	}
	defer peers.Close()
	if err := r.serveHTTP(r.options.PeerListen, r.peerMux()); err != nil {
		return errors.Wrap(err, "open the listener for other VMs")
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	for _, f := range r.followers {
		go f.Run(background, r.options.Log)
	}
	go r.relay.Run(background)
	exchange := &loadshare.Exchange{Peers: r.loadReportPeers, Collect: r.collectLoadReports, Apply: r.servers.ApplyReports, Log: r.log}
	if err := exchange.Start(background, r.options.LoadListen); err != nil {
		return err
	}
	if err := r.gossip.Start(background, r.options.GossipListen); err != nil {
		return err
	}
	go r.lessor.Run(background)
	go r.collector.run(background)
	go r.expireIdleConnections(background)
	go r.watchReach(background)
	go r.serveFront(r.front, callers)
	go r.serveFront(r.detourFront, peers)
	r.log.Info("started", zap.String("instance", r.options.Instance),
		zap.String("failure_domain", r.options.Domain), zap.String("front", r.options.FrontListen))
	<-ctx.Done()
	r.stop(callers, peers)
	return nil
}

// serveFront serves callers or other VMs until the listener is closed.
func (r *Router) serveFront(server *front.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil {
		r.log.Error("listener for callers ended", logfield.Error(err))
	}
}

// Reload applies the settings that may change while the VM runs: the grace period, the
// tolerance of rate limits and the limits for cold backend servers. Other settings need
// a restart; the log line reports a change of only some of them.
func (r *Router) Reload(o Options) {
	r.graceNs.Store(int64(o.Grace))
	r.limiter.SetTolerance(o.QuotaTolerance)
	r.servers.SetColdLimits(o.Cold)
	r.log.Info("settings reloaded", zap.Duration("grace", o.Grace), zap.Float64("quota_slack", o.QuotaTolerance.Slack),
		zap.Float64("cold_slack", o.Cold.Slack),
		zap.Bool("needs_restart", o.FrontListen != r.options.FrontListen || o.ReadyListen != r.options.ReadyListen || o.RevokeWithin != r.options.RevokeWithin))
}

// loadReportPeers returns the addresses at which the other VMs of the failure domain
// receive load reports: the port above that of their peer listener.
func (r *Router) loadReportPeers() []netip.AddrPort {
	members := r.members.Load()
	if members == nil {
		return nil
	}
	var peers []netip.AddrPort
	for _, m := range members.List {
		if m.Domain != r.options.Domain || m.VM == r.options.VM {
			continue
		}
		if address, ok := portAbove(m.Address, loadPortOffset); ok {
			peers = append(peers, address)
		}
	}
	return peers
}

// Ports of a VM above that of its peer listener.
const (
	loadPortOffset   = 1
	gossipPortOffset = 2
	detourPortOffset = 3
)

// portAbove returns the address with a port that is higher by offset, or false if the address
// is invalid.
func portAbove(address string, offset uint16) (netip.AddrPort, bool) {
	parsed, err := netip.ParseAddrPort(address)
	return netip.AddrPortFrom(parsed.Addr(), parsed.Port()+offset), err == nil
}

// stopTimes are times of a planned stop, from the stop signal.
type stopTimes struct {
	reject time.Duration // from when on requests that may last longer than end are rejected
	end    time.Duration // when the requests in progress are ended
	exit   time.Duration // when the process exits at the latest
}

// stopTimesOf returns the times of a stop with the given grace period.
func stopTimesOf(grace time.Duration) stopTimes {
	exit := grace - min(stopMargin, grace/stopMarginDivisor)
	end := exit - min(answerMargin, grace/answerMarginDivisor)
	return stopTimes{reject: min(drainDelay, exit/2), end: end, exit: exit}
}

// stop drains the VM: it reports itself as not ready, resigns the assignment lease, and
// closes each connection after its response. Idle connections stay open for one more
// request each, since a close could cross it. After drainDelay the VM rejects requests that
// may last longer than its process, and exits when no connection is left or at the end of
// the grace period. Requests that are in progress then are ended shortly before.
func (r *Router) stop(callers, peers net.Listener) {
	r.log.Info("stopping", zap.Int("connections", r.front.OpenConnections()))
	r.stopping.Store(true)
	r.front.Drain()
	r.publishReach()
	r.detourFront.Drain()
	r.lessor.Stop()
	times := stopTimesOf(time.Duration(r.graceNs.Load()))
	endAt := r.clock.Now() + times.end
	exit, cancel := context.WithTimeout(context.Background(), times.exit)
	defer cancel()
	defer time.AfterFunc(times.end, r.endRequests).Stop()
	time.Sleep(times.reject)
	r.forwarder.SetExit(endAt)
	// This VM gets few new requests from here on, so the other VMs may have its shares.
	r.collector.withdrawReport(exit)
	r.front.Wait(exit)
	r.detourFront.CloseIdle()
	r.detourFront.Wait(exit)
	// Nothing is accepted any more. Callers may have connected since the first wait, and other
	// VMs since the second.
	callers.Close() //nolint:errcheck // it is not used again
	peers.Close()   //nolint:errcheck // the same
	r.front.CloseIdle()
	r.detourFront.CloseIdle()
	r.front.Wait(exit)
	r.detourFront.Wait(exit)
	r.log.Info("stopped", zap.Int("connections", r.front.OpenConnections()))
}

// endRequests ends the requests that are in progress or still arriving, so that their callers get
// an answer.
func (r *Router) endRequests() {
	r.forwarder.End()
	r.front.EndReading()
	r.detourFront.EndReading()
}

// serveHTTP opens a listener and serves it in the background. It returns an error if the
// listener cannot be opened.
func (r *Router) serveHTTP(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
	go func() {
		if err := server.Serve(listener); err != nil {
			r.log.Error("listener ended", zap.String("address", address), logfield.Error(err))
		}
	}()
	return nil
}

func (r *Router) readyMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+r.options.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !r.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (r *Router) metricsMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", r.metrics.Handler())
	return mux
}

func (r *Router) peerMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.ControlPath, r.peers)
	return mux
}

// configKnown reports whether a configuration has been read from the shared log.
func (r *Router) configKnown() bool { return r.directory.View() != nil }

// ready reports whether the platform should send new connections to this VM.
func (r *Router) ready() bool {
	return !r.stopping.Load() && r.configKnown() && r.directory.ConfigAge() < maxReadyAge
}

// limits returns the configured limits of a request, or none before a configuration is
// known.
func (r *Router) limits() fleet.Limits {
	if view := r.directory.View(); view != nil {
		return view.Config.Limits
	}
	return fleet.Limits{}
}

// expireIdleConnections closes idle connections to backend servers at intervals, until ctx
// ends.
func (r *Router) expireIdleConnections(ctx context.Context) {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.servers.ExpireIdle()
			r.forwarder.Detours.ExpireIdle()
		}
	}
}

// onHeartbeat applies the allotment and the version of the configuration that a heartbeat
// carries.
func (r *Router) onHeartbeat(content []byte) {
	var allotment share.Allotment
	if err := share.Decode(content, &allotment); err != nil {
		r.log.Error("allotment in a heartbeat cannot be decoded", logfield.Error(err))
		return
	}
	r.limiter.SetAllotment(allotment)
	r.directory.RequireVersion(allotment.ConfigVersion)
	if !r.isLeaseHolder.Load() {
		r.quarantine.SetRecorded(allotment.Quarantined, r.clock.Now())
	}
}

// onLeaseChange is called when this VM acquires or loses the assignment lease. The metrics
// count the lease holder as the decider.
func (r *Router) onLeaseChange(held bool) {
	r.isLeaseHolder.Store(held)
	change := metrics.Lost
	if held {
		change = metrics.Gained
	}
	r.metrics.DeciderChanged(change)
	r.collector.setLeaseHolder(held)
}

// countRequest adds a finished request and its retries to the metrics.
func (r *Router) countRequest(e *forward.Event, outcome string) {
	r.metrics.Request(e.Service, e.Workspace, outcome, e.Reason, e.Took)
	for range max(0, len(e.Attempts)-1) {
		r.metrics.Retried(e.Service)
	}
}

// metricsState returns the current values of the gauges.
func (r *Router) metricsState() metrics.State {
	state := metrics.State{Ready: r.ready(), Decider: r.isLeaseHolder.Load(), VMs: r.limiter.VMCount(), LimitedBackends: r.servers.LimitedCount()}
	state.Unreachable = r.reach.Cut()
	state.Crashes, state.Quarantined = r.quarantine.Counts(r.clock.Now())
	if next, ok := r.lessor.Follower().Cursor(); ok {
		state.LogEra = next.Era
	}
	if view := r.directory.View(); view != nil {
		state.Config = metrics.Config{Position: uint64(view.Config.Version), ConfirmedAge: r.directory.ConfigAge()}
	}
	return state
}

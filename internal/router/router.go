// Package router wires one VM that routes requests straight to backend servers and
// shares its state with the other VMs over a log service only.
//
// Lock order: forward.Forwarder, then forward.Servers, then upstream.Pool; the
// locks of directory.Directory, keylease.Table and share.Limiter are leaves. No
// lock is held across I/O.
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
	"fireflyfield/internal/keylease"
	"fireflyfield/internal/loadshare"
	"fireflyfield/internal/logfield"
	"fireflyfield/internal/metrics"
	"fireflyfield/internal/peer"
	"fireflyfield/internal/relay"
	"fireflyfield/internal/share"
	"fireflyfield/internal/sharedlog"
	"fireflyfield/internal/upstream"
)

// Options are the settings and the adapters of a VM.
type Options struct {
	VM       string
	Instance string // differs in each process
	Domain   string

	FrontListen   string
	ReadyListen   string
	ReadyPath     string
	MetricsListen string
	PeerListen    string // HOST:PORT at which other VMs reach this one
	LoadListen    string // HOST:PORT, UDP, for load reports; the port after that of PeerListen

	Log         sharedlog.Log
	Sources     directory.Sources
	LeaseTopic  string
	ReportTopic string
	Granter     keylease.Granter
	Protocol    Protocol

	MaxConnections int
	Grace          time.Duration // time between the signal to stop and the end
	RevokeWithin   time.Duration // time until a withdrawn caller key stops working
	RetryRatio     float64
	RetrySlack     float64
	Cold           forward.ColdLimits
	QuotaTolerance share.Tolerance

	Logger *zap.Logger
}

// Protocol is what callers and backend servers speak.
type Protocol interface {
	forward.Protocol
	upstream.Responder
}

const (
	// revokeMargin is subtracted from the time until a withdrawn caller key must stop
	// working, for the way of a request to the VM.
	revokeMargin = 400 * time.Millisecond
	// maxReadyAge is the age of the configuration above which the VM says that it is
	// not ready, while others may be.
	maxReadyAge = 3500 * time.Millisecond
	// idleSweep is the time between sweeps of idle connections.
	idleSweep = 2 * time.Second
	// leaveDelay is the time between the signal to stop and the end of idle
	// connections: the platform asks once a second and takes two misses as a no.
	leaveDelay = 2800 * time.Millisecond
	// stopMargin is how long before the end of the grace time the process exits.
	stopMargin = 300 * time.Millisecond
)

// Router is one running VM.
type Router struct {
	o         Options
	clock     clock.Clock
	log       *zap.Logger
	directory *directory.Directory
	table     *keylease.Table
	limiter   *share.Limiter
	servers   *forward.Servers
	forwarder *forward.Forwarder
	lessor    *keylease.Lessor
	metrics   *metrics.Metrics
	collector *collector
	peers     *peer.Server
	relay     *relay.Client
	followers []*directory.Follower
	front     *front.Server
	stopping  atomic.Bool
	holds     atomic.Bool
	members   atomic.Pointer[share.Members]
	grace     atomic.Int64 // time between the signal to stop and the end, in ns
}

// New returns a VM that is not started.
func New(o Options) (*Router, error) {
	r := &Router{o: o, clock: clock.System{}, log: o.Logger}
	r.grace.Store(int64(o.Grace))
	r.directory = directory.New(r.clock, r.log, o.Sources)
	r.table = keylease.NewTable(r.log)
	r.limiter = share.NewLimiter(o.VM, o.QuotaTolerance)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	r.servers = forward.NewServers(r.clock, o.Domain, o.Cold, o.Protocol, random, r.limiter.VMCount)
	m, err := metrics.New(r.state)
	if err != nil {
		return nil, err
	}
	r.metrics = m
	r.forwarder = forward.New(forward.Options{
		Clock: r.clock, Directory: r.directory, Table: r.table, Servers: r.servers, Limiter: r.limiter,
		Protocol: o.Protocol, Observer: decisionlog.NewRequests(r.log, r.clock, r.count),
		RetryRatio: o.RetryRatio, RetrySlack: o.RetrySlack, MaxConfigAge: o.RevokeWithin - revokeMargin,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	r.collector = newCollector(r)
	r.lessor = keylease.NewLessor(keylease.LessorOptions{
		Log: o.Log, Topic: o.LeaseTopic, Granter: o.Granter, Clock: r.clock, Table: r.table,
		Instance: o.Instance, Address: o.PeerListen, Logger: r.log, FleetKnown: r.known, Input: r.collector.input, Wake: r.directory.Changed,
		Notices: r.collector.notices, OnHeartbeat: r.onBeat, OnMembers: r.onMembers, OnLeaseChange: r.onHold,
	})
	r.buildRelay()
	r.front = &front.Server{
		Handler: r.forwarder, Clock: r.clock, Log: r.log, Limits: r.limits, MaxConnections: o.MaxConnections,
	}
	return r, nil
}

// buildRelay sets up the followers of the log's topics and the exchange with other
// VMs that saves most of their reads.
func (r *Router) buildRelay() {
	identity := peer.Identity{Version: peer.Version, VM: r.o.VM, Instance: r.o.Instance, FailureDomain: r.o.Domain}
	r.followers = append(r.directory.Followers(), r.lessor.Follower())
	cache := relay.NewCache(r.clock.Now, map[string]func(before, after sharedlog.Record) bool{
		r.o.Sources.BackendTopic: r.o.Sources.Repeats,
	})
	for _, f := range r.followers {
		cache.Wrap(f)
	}
	r.peers = peer.NewServer(identity, "", r.log)
	relay.Serve(r.peers, cache, r.collector.takeAll)
	r.relay = &relay.Client{
		Peers: peer.NewClient(identity, ""), Followers: r.followers, First: r.lessor.Follower(), Address: r.relayAddress,
		Reports: r.collector.due, Now: r.clock.Now, Log: r.log,
	}
	r.relay.Prepare()
}

// relayAddress returns the address of the VM to poll, if one is known; the holder of
// the lease reads the log for all VMs.
func (r *Router) relayAddress() (address string, self bool) {
	current := r.table.Current()
	if r.holds.Load() || current != nil && current.Holder == r.o.Instance {
		return "", true
	}
	if current == nil || current.Holder == "" || current.Address == r.o.PeerListen {
		return "", false
	}
	if members := r.members.Load(); members != nil {
		return relay.Parent(members.List, r.o.VM, r.o.Domain, current.Address), false
	}
	return current.Address, false
}

func (r *Router) onMembers(content []byte) {
	var members share.Members
	if err := share.Decode(content, &members); err != nil {
		r.log.Error("list of members cannot be read", logfield.Error(err))
		return
	}
	r.members.Store(&members)
	r.limiter.SetMembers(members)
}

// Run serves until ctx ends, and then stops gracefully.
func (r *Router) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp4", r.o.FrontListen)
	if err != nil {
		return errors.Wrap(err, "callers' listener")
	}
	defer callers.Close()
	if err := r.serveHTTP(r.o.ReadyListen, r.readyMux()); err != nil {
		return errors.Wrap(err, "readiness listener")
	}
	if err := r.serveHTTP(r.o.MetricsListen, r.metricsMux()); err != nil {
		// Callers are served without metrics.
		r.log.Error("no metrics listener", zap.String("address", r.o.MetricsListen), logfield.Error(err))
	}
	if err := r.serveHTTP(r.o.PeerListen, r.peerMux()); err != nil {
		return errors.Wrap(err, "listener for other VMs")
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	for _, f := range r.followers {
		go f.Run(background, r.o.Log)
	}
	go r.relay.Run(background)
	exchange := &loadshare.Exchange{Peers: r.loadPeers, Collect: r.servers.CollectReports, Apply: r.servers.ApplyReports, Log: r.log}
	if err := exchange.Run(background, r.o.LoadListen); err != nil {
		return err
	}
	go r.lessor.Run(background)
	go r.collector.run(background)
	go r.sweep(background)
	go func() {
		if err := r.front.Serve(callers); err != nil {
			r.log.Error("callers' listener ended", logfield.Error(err))
		}
	}()
	r.log.Info("started", zap.String("instance", r.o.Instance),
		zap.String("failure_domain", r.o.Domain), zap.String("front", r.o.FrontListen))
	<-ctx.Done()
	r.stop(callers)
	return nil
}

// Reload applies settings that may change while the VM runs: the grace time, the
// tolerance of rates and the bounds of cold backend servers. Others need a restart.
func (r *Router) Reload(o Options) {
	r.grace.Store(int64(o.Grace))
	r.limiter.SetTolerance(o.QuotaTolerance)
	r.servers.SetCold(o.Cold)
	r.log.Info("settings reloaded", zap.Duration("grace", o.Grace), zap.Float64("quota_slack", o.QuotaTolerance.Slack),
		zap.Float64("cold_slack", o.Cold.Slack),
		zap.Bool("needs_restart", o.FrontListen != r.o.FrontListen || o.ReadyListen != r.o.ReadyListen || o.RevokeWithin != r.o.RevokeWithin))
}

// loadPeers returns where the other VMs of the failure domain take load reports.
func (r *Router) loadPeers() []netip.AddrPort {
	members := r.members.Load()
	if members == nil {
		return nil
	}
	var peers []netip.AddrPort
	for _, m := range members.List {
		address, err := netip.ParseAddrPort(m.Address)
		if err != nil || m.Domain != r.o.Domain || m.VM == r.o.VM {
			continue
		}
		peers = append(peers, netip.AddrPortFrom(address.Addr(), address.Port()+1))
	}
	return peers
}

// stop drains the VM: it says that it is not ready, gives the lease back, ends
// connections behind their responses, and closes idle ones once no new ones come.
func (r *Router) stop(callers net.Listener) {
	r.log.Info("stopping", zap.Int("connections", r.front.OpenConnections()))
	r.stopping.Store(true)
	r.front.Drain()
	r.lessor.Stop()
	grace := time.Duration(r.grace.Load())
	time.Sleep(min(leaveDelay, grace/2))
	callers.Close() //nolint:errcheck // no connection is expected any more
	r.front.CloseIdle()
	// The shares go to the other VMs once no new requests come here.
	r.collector.leave()
	ctx, cancel := context.WithTimeout(context.Background(), grace-min(leaveDelay, grace/2)-stopMargin)
	defer cancel()
	r.front.Wait(ctx)
	r.log.Info("stopped", zap.Int("connections", r.front.OpenConnections()))
}

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
	mux.HandleFunc("GET "+r.o.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
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

// known reports whether configuration and catalogue are known.
func (r *Router) known() bool { return r.directory.View() != nil }

// ready reports whether the VM should get new connections.
func (r *Router) ready() bool {
	return !r.stopping.Load() && r.known() && r.directory.ConfigAge() < maxReadyAge
}

func (r *Router) limits() fleet.Limits {
	if view := r.directory.View(); view != nil {
		return view.Config.Limits
	}
	return fleet.Limits{}
}

func (r *Router) sweep(ctx context.Context) {
	ticker := time.NewTicker(idleSweep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.servers.ExpireIdle()
		}
	}
}

func (r *Router) onBeat(content []byte) {
	var allotment share.Allotment
	if err := share.Decode(content, &allotment); err != nil {
		r.log.Error("beat cannot be read", logfield.Error(err))
		return
	}
	r.limiter.SetAllotment(allotment)
}

func (r *Router) onHold(held bool) {
	r.holds.Store(held)
	change := metrics.Lost
	if held {
		change = metrics.Gained
	}
	r.metrics.DeciderChanged(change)
	r.collector.hold(held)
}

// count adds a request to the metrics.
func (r *Router) count(e *forward.Event, outcome string) {
	r.metrics.Request(e.Service, e.Workspace, outcome, e.Reason, e.Took)
	for range max(0, len(e.Attempts)-1) {
		r.metrics.Retried(e.Service)
	}
}

// state is what the gauges show.
func (r *Router) state() metrics.State {
	state := metrics.State{Ready: r.ready(), Decider: r.holds.Load(), VMs: r.limiter.VMCount()}
	if view := r.directory.View(); view != nil {
		state.Config = metrics.Config{Position: uint64(view.Config.Version), ConfirmedAge: r.directory.ConfigAge()}
	}
	return state
}

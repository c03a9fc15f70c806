package vm

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/multierr"
	"go.uber.org/zap"

	"fireflyfield/internal/caller"
	"fireflyfield/internal/callerkey"
	"fireflyfield/internal/config"
	"fireflyfield/internal/dispatch"
	"fireflyfield/internal/gate"
	"fireflyfield/internal/ownership"
	"fireflyfield/internal/peer"
	"fireflyfield/internal/platform"
	"fireflyfield/internal/snapshot"
	"fireflyfield/internal/trace"
)

// VM runs all parts of one router VM: the listeners, the background work and the
// state that they share. Start creates it and Stop ends it.
type VM struct {
	options               Options
	logger                *zap.Logger
	platform              *platform.Client
	follower              *config.Follower
	fleet                 *fleet
	table                 *ownership.Table
	gates                 *gate.Set
	router                *router
	unkeyed               *balancers
	peerClient            *peer.Client
	peerServer            *peer.Server
	controlClients        *controlClients
	roles                 *roles
	keyring               *callerkey.Keyring
	appliedKeys           appliedKeys
	quotas                *quotas
	loads                 *loadReporter
	idempotencyPartitions *idempotencyPartitions
	assigner              *assigner
	operatorState

	callers   *listener
	peers     *listener
	operators *listener

	// firstMapAt is the time at which the first domain map of this failure domain was
	// received, in Unix ns; 0 before that.
	firstMapAt       atomic.Int64
	stopping         atomic.Bool
	background       sync.WaitGroup
	cancelBackground context.CancelFunc
	// backgroundContext is the context of the background work and ends when
	// cancelBackground is called. acceptMap uses it for work that must not end with the
	// call that brought the domain map.
	backgroundContext context.Context
}

// Start opens the listeners and starts the background work. It does not wait until
// the VM is ready, which requires the configuration and the domain map; see
// AwaitReady.
func Start(options Options) (*VM, error) {
	options.setDefaults()
	if err := options.Validate(); err != nil {
		return nil, err
	}
	v := newVM(options)
	if err := v.listen(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	v.cancelBackground = stop
	v.backgroundContext = ctx
	v.startBackground(ctx)
	go v.peers.serve(v.logger)
	go v.operators.serve(v.logger)
	go v.callers.serve(v.logger)
	v.logger.Info("started", zap.String("callers", v.callers.address()), zap.String("peers", v.peers.address()), zap.String("operators", v.operators.address()))
	return v, nil
}

func newVM(options Options) *VM {
	v := &VM{
		options:  options,
		logger:   options.Logger.With(zap.String("vm", options.Name)),
		platform: platform.NewClient(options.Platform),
		fleet:    newFleet(),
		table:    ownership.NewTable(),
	}
	v.peerClient = peer.NewClient(v.identity(), options.PeerToken)
	v.operatorState = newOperatorState(v)
	v.follower = config.NewFollower(v.platform, config.NewState(), v.logger, newRandom())
	clock := newClock()
	v.controlClients = newControlClients(v.follower.State().View)
	v.loads = newLoadReporter(v)
	v.gates = gate.NewSet(ownerLookup{v}, clock.leaseNow, v.loads.meter)
	v.recordAttempts()
	v.keyring = callerkey.NewKeyring(time.Now())
	v.quotas = newQuotas(v)
	v.idempotencyPartitions = newIdempotencyPartitions(v)
	v.roles = newRoles(v, clock)
	v.assigner = newAssigner(v, clock, v.roles)
	senders := &gateSenders{self: options.Name, gates: v.measuredGates(), fleet: v.fleet, forwarder: peer.NewForwarder(options.PeerToken)}
	v.unkeyed = newBalancers(options.FailureDomain, v.table, senders)
	v.router = newRouter(v.table, senders, v.unkeyed)
	return v
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// callerHandler builds the handler for callers' requests: authentication, rate
// limit, deduplication and dispatch.
func (v *VM) callerHandler() http.Handler {
	dispatcher := dispatch.New(v.router, newRandom)
	dispatcher.SetObserver(v.metrics)
	handler := caller.New(
		authenticator{v.keyring},
		v.measuredLimiter(),
		services{v.follower.State()},
		&deduplicator{dispatcher: dispatcher, partitions: v.idempotencyPartitions},
		v.requestMeter(),
		v.stopping.Load,
	)
	v.recordCallers(handler)
	return handler
}

// newPeerServer creates the server for control messages from other VMs.
func (v *VM) newPeerServer() *peer.Server {
	v.peerServer = peer.NewServer(v.identity(), v.options.PeerToken, v.logger)
	v.peerServer.SetMeter(peerMeter{v.metrics})
	v.registerHandlers(v.peerServer)
	return v.peerServer
}

func (v *VM) identity() peer.Identity {
	return peer.Identity{Version: peer.Version, VM: v.options.Name, Instance: v.options.Instance, FailureDomain: v.options.FailureDomain}
}

func (v *VM) listen() error {
	peerMux := http.NewServeMux()
	peerMux.Handle(peer.ControlPath, v.newPeerServer())
	peerMux.Handle(peer.ForwardPath+"/", peer.ForwardHandler(v.options.PeerToken, v.measuredGates()))
	var errs error
	open := func(target **listener, address string, limit int, server *http.Server) {
		l, err := listen(address, limit, server)
		errs = multierr.Append(errs, err)
		*target = l
	}
	open(&v.peers, v.options.PeerListen, 0, newPeerHTTPServer(peerMux))
	open(&v.operators, v.options.OperatorListen, 0, newOperatorHTTPServer(v.operatorHandler()))
	open(&v.callers, v.options.CallerListen, maxCallerConnections, newCallerHTTPServer(preventSmuggling(v.callerHandler())))
	if errs != nil {
		v.closeListeners()
	}
	return errs
}

func (v *VM) closeListeners() {
	for _, l := range []*listener{v.callers, v.peers, v.operators} {
		if l != nil {
			_ = l.socket.Close()
		}
	}
}

func (v *VM) startBackground(ctx context.Context) {
	v.background.Go(func() { v.fleet.follow(ctx, v.platform, v.logger) })
	v.background.Go(func() { _ = v.follower.Run(ctx) }) // returns only the error of the context
	snapshotter := config.NewSnapshotter(v.platform, v.follower, snapshot.DefaultPolicy, v.logger, newRandom())
	v.background.Go(func() { _ = snapshotter.Run(ctx) }) // returns only the error of the context
	v.background.Go(func() { v.roles.run(ctx) })
	v.background.Go(func() { v.roles.watchPredecessors(ctx) })
	v.background.Go(func() { v.followConfig(ctx) })
	v.background.Go(func() { v.recordConfig(ctx) })
	v.background.Go(func() { v.exchange(ctx) })
	v.background.Go(func() { v.confirmKeys(ctx) })
	v.background.Go(func() { v.quotas.run(ctx) })
	v.background.Go(func() { v.statusCollector.run(ctx) })
	v.background.Go(func() { v.loads.run(ctx) })
	v.background.Go(func() { v.watchHealth(ctx) })
	v.background.Go(func() { v.readServerLoads(ctx) })
	v.background.Go(func() { v.idempotencyPartitions.run(ctx) })
	for range v.options.Workers {
		v.background.Go(func() { v.assigner.runWorker(ctx) })
	}
	v.background.Go(func() { v.assigner.run(ctx) })
	v.background.Go(func() { v.assigner.writeSnapshots(ctx) })
}

// Name returns the name of the VM in the platform's list.
func (v *VM) Name() string { return v.options.Name }

// followConfig applies each new configuration to the parts of the VM that depend
// on it, until the context ends.
func (v *VM) followConfig(ctx context.Context) {
	for {
		changed := v.follower.State().Changed()
		view := v.follower.State().View()
		v.assigner.enqueue(ctx, ownership.ConfigChanged{Config: ownershipConfig(view, v.options.FailureDomain)})
		v.unkeyed.update(view)
		v.updateKeys(view)
		v.quotas.update(view)
		v.router.notify()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// FailureDomain returns the failure domain of the VM.
func (v *VM) FailureDomain() string { return v.options.FailureDomain }

// CallerAddress returns HOST:PORT of the listener for callers.
func (v *VM) CallerAddress() string { return v.callers.address() }

// PeerAddress returns HOST:PORT of the listener for other VMs.
func (v *VM) PeerAddress() string { return v.peers.address() }

// OperatorAddress returns HOST:PORT of the listener for operators.
func (v *VM) OperatorAddress() string { return v.operators.address() }

// handoverLinger is how long a stopping VM still answers peers after it has handed
// over its roles, so that new keepers learn at once which tokens it holds. Without
// the answer they reject requests within the rate until the process has ended.
const handoverLinger = 300 * time.Millisecond

// ErrStopping is returned by Stop if the VM is stopping already.
var ErrStopping = errors.New("VM is already stopping")

// Stop shuts the VM down gracefully: the VM becomes unready, waits LeaveDelay for
// the platform's balancer to notice, stops accepting requests, lets those in flight
// end and hands its roles over if the failure domain has another live VM. It returns
// an error if requests were still in flight at the end of StopTimeout, and ErrStopping
// if Stop was called before.
func (v *VM) Stop(ctx context.Context) error {
	if v.stopping.Swap(true) {
		return ErrStopping
	}
	close(v.stopSignal)
	v.logger.Info("stopping")
	v.recordStop(trace.Begin)
	defer v.recordStop(trace.Finished)
	ctx, cancel := context.WithTimeout(ctx, v.options.StopTimeout)
	defer cancel()
	sleep(ctx, v.options.LeaveDelay)
	err := v.callers.shutdown(ctx)
	if v.fleet.hasSuccessor(v.options.FailureDomain, v.options.Name) && !v.assigner.requestStop(ctx) {
		v.logger.Warn("roles of this VM were not handed over before the stop timeout")
	}
	sleep(ctx, handoverLinger)
	v.cancelBackground()
	v.background.Wait()
	err = multierr.Append(err, v.peers.shutdown(ctx))
	v.peerServer.Close()
	err = multierr.Append(err, v.operators.shutdown(ctx))
	v.peerClient.Close()
	v.platform.Close()
	v.logger.Info("stopped")
	return err
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

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

// VM is one running VM.
type VM struct {
	options    Options
	logger     *zap.Logger
	platform   *platform.Client
	follower   *config.Follower
	fleet      *fleet
	table      *ownership.Table
	gates      *gate.Set
	router     *router
	unkeyed    *balancers
	calls      *peer.Client
	answers    *peer.Server
	control    *control
	roles      *roles
	keyring    *callerkey.Keyring
	applied    appliedKeys
	quotas     *quotas
	loads      *loads
	partitions *partitions
	assigner   *assigner
	operatorState

	callers   *listener
	peers     *listener
	operators *listener

	// mapSeen is the time of the first map of this failure domain, in Unix ns.
	mapSeen    atomic.Int64
	stopping   atomic.Bool
	background sync.WaitGroup
	stopWork   context.CancelFunc
	// work is the context of the background goroutines.
	work context.Context
}

// Start opens the listeners and begins to follow the platform. The VM is ready
// once it has read the configuration and the owners.
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
	v.stopWork = stop
	v.work = ctx
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
	v.calls = peer.NewClient(v.identity(), options.PeerToken)
	v.operatorState = newOperatorState(v)
	v.follower = config.NewFollower(v.platform, config.NewState(), v.logger, newRandom())
	clock := newClock()
	v.control = newControl(v.follower.State().View)
	v.loads = newLoads(v)
	v.gates = gate.NewSet(owners{v}, clock.leaseNow, v.loads.meter)
	v.recordAttempts()
	v.keyring = callerkey.NewKeyring(time.Now())
	v.quotas = newQuotas(v)
	v.partitions = newPartitions(v)
	v.roles = newRoles(v, clock)
	v.assigner = newAssigner(v, clock, v.roles)
	send := &senders{self: options.Name, gates: v.measuredGates(), fleet: v.fleet, forwarder: peer.NewForwarder(options.PeerToken)}
	v.unkeyed = newBalancers(options.FailureDomain, v.table, send)
	v.router = newRouter(v.table, send, v.unkeyed)
	return v
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// callerHandler wires the callers' side.
func (v *VM) callerHandler() http.Handler {
	dispatcher := dispatch.New(v.router, newRandom)
	dispatcher.SetObserver(v.metrics)
	handler := caller.New(
		keys{v.keyring},
		v.measuredLimiter(),
		services{v.follower.State()},
		&deduplicator{inner: dispatcher, partitions: v.partitions},
		v.requestMeter(),
		v.stopping.Load,
	)
	v.recordCallers(handler)
	return handler
}

// newAnswers wires the server that answers other VMs.
func (v *VM) newAnswers() *peer.Server {
	v.answers = peer.NewServer(v.identity(), v.options.PeerToken, v.logger)
	v.answers.SetMeter(peerMeter{v.metrics})
	v.registerHandlers(v.answers)
	return v.answers
}

func (v *VM) identity() peer.Identity {
	return peer.Identity{Version: peer.Version, VM: v.options.Name, Instance: v.options.Instance, FailureDomain: v.options.FailureDomain}
}

func (v *VM) listen() error {
	peerMux := http.NewServeMux()
	peerMux.Handle(peer.ControlPath, v.newAnswers())
	peerMux.Handle(peer.ForwardPath+"/", peer.ForwardHandler(v.options.PeerToken, v.measuredGates()))
	var faults error
	open := func(into **listener, address string, limit int, server *http.Server) {
		opened, err := listen(address, limit, server)
		faults = multierr.Append(faults, err)
		*into = opened
	}
	open(&v.peers, v.options.PeerListen, 0, peerServer(peerMux))
	open(&v.operators, v.options.OperatorListen, 0, operatorServer(v.operatorHandler()))
	open(&v.callers, v.options.CallerListen, maxCallerConnections, callerServer(guarded(v.callerHandler())))
	if faults != nil {
		v.closeListeners()
	}
	return faults
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
	v.background.Go(func() { _ = v.follower.Run(ctx) }) // ends with the context only
	snapshotter := config.NewSnapshotter(v.platform, v.follower, snapshot.DefaultPolicy, v.logger, newRandom())
	v.background.Go(func() { _ = snapshotter.Run(ctx) }) // ends with the context only
	v.background.Go(func() { v.roles.run(ctx) })
	v.background.Go(func() { v.roles.watchFormers(ctx) })
	v.background.Go(func() { v.followConfig(ctx) })
	v.background.Go(func() { v.recordConfig(ctx) })
	v.background.Go(func() { v.exchange(ctx) })
	v.background.Go(func() { v.confirmKeys(ctx) })
	v.background.Go(func() { v.quotas.run(ctx) })
	v.background.Go(func() { v.collector.run(ctx) })
	v.background.Go(func() { v.loads.run(ctx) })
	v.background.Go(func() { v.watchServers(ctx) })
	v.background.Go(func() { v.readServerLoads(ctx) })
	v.background.Go(func() { v.partitions.run(ctx) })
	for range v.options.Workers {
		v.background.Go(func() { v.assigner.work(ctx) })
	}
	v.background.Go(func() { v.assigner.run(ctx) })
	v.background.Go(func() { v.assigner.writeSnapshots(ctx) })
}

// Name returns the name of the VM.
func (v *VM) Name() string { return v.options.Name }

// followConfig tells the ownership logic about each configuration.
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

// CallerAddress returns HOST:PORT of the callers' listener.
func (v *VM) CallerAddress() string { return v.callers.address() }

// PeerAddress returns HOST:PORT of the listener for other VMs.
func (v *VM) PeerAddress() string { return v.peers.address() }

// OperatorAddress returns HOST:PORT of the operators' listener.
func (v *VM) OperatorAddress() string { return v.operators.address() }

// handoverLinger is the time for which a VM without duties still answers, so that
// new keepers learn at once which tokens it holds. Without the answer they refuse
// requests inside the rate until the process has ended.
const handoverLinger = 300 * time.Millisecond

// ErrStopping says that the VM has been told to stop before.
var ErrStopping = errors.New("already stopping")

// Stop ends the VM without cutting a request: it becomes unready, waits for the
// balancer, stops accepting and lets requests end. It returns an error if
// requests were still running at the end of the stop timeout.
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
		v.logger.Warn("duties of this VM did not move before the stop timeout")
	}
	sleep(ctx, handoverLinger)
	v.stopWork()
	v.background.Wait()
	err = multierr.Append(err, v.peers.shutdown(ctx))
	v.answers.Close()
	err = multierr.Append(err, v.operators.shutdown(ctx))
	v.calls.Close()
	v.platform.Close()
	v.logger.Info("stopped")
	return err
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

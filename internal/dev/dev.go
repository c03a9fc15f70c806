// Package dev runs a whole deployment in one process, on loopback: the stand-ins, an
// example configuration and one VM for each failure domain. It decides only how they are
// started, stopped and connected; all routing is left to the VMs.
package dev

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"go.uber.org/multierr"
	"go.uber.org/zap"

	"fireflyfield/examples"
	"fireflyfield/internal/config"
	"fireflyfield/internal/platform"
	"fireflyfield/internal/resource"
	backendstandin "fireflyfield/internal/standin/backend"
	platformstandin "fireflyfield/internal/standin/platform"
	"fireflyfield/internal/trace"
	"fireflyfield/internal/vm"
)

// Options configures a deployment.
type Options struct {
	// Example is the name of an example: dakar or serra-sul.
	Example string
	// Listen is HOST:PORT of the listener for callers of the first VM. The other VMs
	// listen on free ports.
	Listen string
	// Logger receives the log lines of the VMs; nil discards them.
	Logger *zap.Logger
	// RunTime is the time for which a request runs at a stand-in backend server.
	RunTime time.Duration
	// WarmAfter is the number of responses after which a backend server is warm.
	WarmAfter int
	// RetainRecords is the number of records that the platform retains in each stream;
	// zero retains all.
	RetainRecords int
	// LeaveDelay is the option of the same name of every VM.
	LeaveDelay time.Duration
	// Rate, if positive, replaces the requests per second and the burst of every
	// workspace. Benchmarks need it, since they would measure the example's rate limits
	// otherwise.
	Rate int
	// LoadInterval is the option of the same name of every VM.
	LoadInterval time.Duration
	// Trace receives the traces of all VMs and backend servers; nil for none. The owner
	// of the sink closes it after Stop.
	Trace *trace.Sink
}

// Cluster is a running deployment: the stand-ins, and the VMs that Start and AddVM started.
type Cluster struct {
	Platform *platformstandin.Server
	// Backends maps the names of backend servers to their stand-ins.
	Backends map[string]*backendstandin.Server
	// VMs holds every VM that was started, in this order, including stopped ones.
	VMs []*vm.VM

	options         Options
	resources       resource.Set
	servers         []*http.Server
	platformAddress string
	// revisions maps each resource to the revision that this Cluster wrote last. Changes
	// that operators make through the VMs are not included.
	revisions map[resource.ID]uint64
}

// Exists reports whether there is an example of that name.
func Exists(example string) bool {
	_, ok := sampleRequests[example]
	return ok
}

const readyTimeout = 20 * time.Second

// Start starts a deployment and waits, at most 20 s, until all its VMs are ready. On
// failure it stops what it has started.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	c := &Cluster{
		Platform:  platformstandin.New(platformstandin.Options{RetainRecords: options.RetainRecords}),
		Backends:  make(map[string]*backendstandin.Server),
		options:   options,
		revisions: make(map[resource.ID]uint64),
	}
	if err := c.start(ctx); err != nil {
		return nil, multierr.Append(err, c.Stop(ctx))
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	set, err := loadExample(c.options.Example)
	if err != nil {
		return err
	}
	c.resources = set
	c.overrideRates()
	platformSocket, err := c.serve("127.0.0.1:0", c.Platform)
	if err != nil {
		return err
	}
	c.platformAddress = platformSocket.Addr().String()
	if err := c.startBackends(); err != nil {
		return err
	}
	if err := c.publish(ctx); err != nil {
		return err
	}
	if err := c.startVMs(); err != nil {
		return err
	}
	return c.awaitReady(ctx)
}

func loadExample(name string) (resource.Set, error) {
	data, err := examples.Files.ReadFile(name + ".yaml")
	if err != nil {
		return nil, errors.Errorf("example %q does not exist; there are dakar and serra-sul", name)
	}
	return resource.Decode(name+".yaml", bytes.NewReader(data), nil)
}

// overrideRates applies Options.Rate to the resources.
func (c *Cluster) overrideRates() {
	for _, r := range c.resources {
		if spec, ok := r.Spec.(*resource.RateSpec); ok && c.options.Rate > 0 {
			spec.RequestsPerSecond = float64(c.options.Rate)
			spec.Burst = c.options.Rate
		}
	}
}

// serve starts an HTTP server at the address, which runs until Stop.
func (c *Cluster) serve(address string, handler http.Handler) (net.Listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for stand-in")
	}
	server := &http.Server{Addr: socket.Addr().String(), Handler: handler, ReadHeaderTimeout: 5 * time.Second, ErrorLog: zap.NewStdLog(zap.NewNop())}
	if standin, ok := handler.(*backendstandin.Server); ok {
		server.ConnContext = standin.ConnContext
	}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(socket) }() // returns when Stop closes the server
	return socket, nil
}

// startBackends starts a stand-in for each backend server of the example and sets the
// server's address to that of the stand-in.
func (c *Cluster) startBackends() error {
	for _, r := range c.resources {
		spec, ok := r.Spec.(*resource.ServiceSpec)
		if !ok {
			continue
		}
		for i, server := range spec.BackendServers {
			standin, err := c.newBackend(r.Metadata.Name, spec, server)
			if err != nil {
				return err
			}
			socket, err := c.serve("127.0.0.1:0", standin)
			if err != nil {
				return err
			}
			spec.BackendServers[i].Address = socket.Addr().String()
			c.Backends[server.Name] = standin
		}
	}
	return nil
}

// newBackend returns a stand-in for the backend server of the service.
func (c *Cluster) newBackend(service string, spec *resource.ServiceSpec, server resource.BackendServer) (*backendstandin.Server, error) {
	options := backendstandin.Options{
		Service:       service,
		Name:          server.Name,
		FailureDomain: server.FailureDomain,
		Keyed:         spec.Keyed(),
		ChecksGrants:  spec.ChecksGrants,
		Slots:         spec.Slots,
		RunTime:       c.options.RunTime,
		WarmAfter:     c.options.WarmAfter,
	}
	if spec.Keyed() {
		options.KeyOf = backendstandin.KeyOf(*spec.Key)
	}
	writer, err := c.options.Trace.Writer(options.TraceOptions(uuid.NewString()))
	options.Trace = writer
	return backendstandin.New(options), err
}

// publish appends the example's resources to the configuration stream as one record.
func (c *Cluster) publish(ctx context.Context) error {
	changes := make([]config.Change, 0, len(c.resources))
	for _, r := range c.resources {
		change, err := config.Put(r, 0)
		if err != nil {
			return errors.Wrapf(err, "encode %s", r.ID())
		}
		changes = append(changes, change)
	}
	offset, err := c.append(ctx, changes...)
	for _, r := range c.resources {
		c.revisions[r.ID()] = offset
	}
	return err
}

// startVMs starts one VM in each failure domain of the example, named vm-DOMAIN.
func (c *Cluster) startVMs() error {
	listen := c.options.Listen
	for _, r := range c.resources {
		if _, ok := r.Spec.(*resource.FailureDomainSpec); !ok {
			continue
		}
		if _, err := c.AddVM("vm-"+r.Metadata.Name, r.Metadata.Name, listen); err != nil {
			return err
		}
		listen = "127.0.0.1:0"
	}
	return nil
}

// AddVM starts a VM in the failure domain and adds it to the platform's list. Callers
// reach it at listen, HOST:PORT. AddVM does not wait until the VM is ready.
func (c *Cluster) AddVM(name, domain, listen string) (*vm.VM, error) {
	options := vm.Options{
		Instance:       uuid.NewString(),
		Name:           name,
		FailureDomain:  domain,
		CallerListen:   listen,
		PeerListen:     "127.0.0.1:0",
		OperatorListen: "127.0.0.1:0",
		Platform:       c.platformAddress,
		LeaveDelay:     c.options.LeaveDelay,
		LoadInterval:   c.options.LoadInterval,
		Logger:         c.options.Logger,
	}
	writer, err := c.options.Trace.Writer(options.TraceOptions())
	if err != nil {
		return nil, err
	}
	options.Trace = writer
	started, err := vm.Start(options)
	if err != nil {
		return nil, err
	}
	c.VMs = append(c.VMs, started)
	c.Platform.SetVM(platform.VM{Name: name, FailureDomain: domain, PeerAddress: started.PeerAddress(), State: platform.VMLive})
	return started, nil
}

func (c *Cluster) awaitReady(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	for _, started := range c.VMs {
		if err := started.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// StopVM stops one VM as the platform does: it lists the VM as leaving, stops it, and
// then removes it from the list.
func (c *Cluster) StopVM(ctx context.Context, stopped *vm.VM) error {
	c.Platform.SetVM(platform.VM{Name: stopped.Name(), FailureDomain: stopped.FailureDomain(), PeerAddress: stopped.PeerAddress(), State: platform.VMLeaving})
	err := stopped.Stop(ctx)
	c.Platform.RemoveVM(stopped.Name())
	return err
}

// Stop stops the VMs gracefully and then the stand-ins. VMs that have been stopped
// before are skipped.
func (c *Cluster) Stop(ctx context.Context) error {
	var failures error
	for _, started := range c.VMs {
		if err := c.StopVM(ctx, started); !errors.Is(err, vm.ErrStopping) {
			failures = multierr.Append(failures, err)
		}
	}
	for _, server := range c.servers {
		failures = multierr.Append(failures, server.Close())
	}
	return failures
}

// SampleCommand returns a curl command line for the sample request of the example,
// which can be pasted into a shell.
func (c *Cluster) SampleCommand() string {
	sample := sampleRequests[c.options.Example]
	return fmt.Sprintf("curl -sS -H 'Authorization: Bearer %s' http://%s%s", sample.key, c.VMs[0].CallerAddress(), sample.path)
}

// sampleRequests maps each example to a caller key and a path of its sample request.
var sampleRequests = map[string]struct{ key, path string }{
	"dakar":     {"example-key-sandaga", "/entretien/bloc-17"},
	"serra-sul": {"example-key-tropa-velha", "/acerto/tropa-17"},
}

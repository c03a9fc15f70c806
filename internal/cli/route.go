package cli

import (
	"context"
	"flag"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"fireflyfield/internal/decisionlog"
	"fireflyfield/internal/logfield"
	"fireflyfield/internal/router"
	"fireflyfield/platform"
)

const (
	// memoryLimitFraction is the fraction of the VM's memory limit that becomes the soft
	// memory limit of the Go runtime. The rest is left for kernel buffers and peaks.
	memoryLimitFraction = 0.6
	// gcPercent is the heap growth in percent that triggers a garbage collection. It
	// is above the default of 100, because the heap is small and CPU time is scarcer
	// than memory.
	gcPercent = 200
)

// routeCommand runs one VM with the settings file of the users' platform (route
// mode).
type routeCommand struct {
	settings    string
	metricsPort int
	sourceIP    string
	logLevel    string
}

// Name implements subcommands.Command.
func (*routeCommand) Name() string { return "route" }

// Synopsis implements subcommands.Command.
func (*routeCommand) Synopsis() string { return "run one VM on the users' platform" }

// Usage implements subcommands.Command.
func (*routeCommand) Usage() string {
	return `route [-settings FILE] [-source-ip ADDRESS] [-log-level LEVEL]:
  Runs one VM with the platform's settings file until SIGINT or SIGTERM, then
  stops gracefully. Logs go to standard output as JSON lines.
  Example: fireflyfield route -settings /etc/fireflyfield/local.conf
`
}

// SetFlags implements subcommands.Command.
func (c *routeCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.settings, "settings", "", "settings file of the platform; if empty, "+platform.SettingsVariable+" names it")
	fs.IntVar(&c.metricsPort, "metrics-port", 9464, "port of the metrics listener on the VM's address")
	fs.StringVar(&c.sourceIP, "source-ip", "", "local IP address of connections to backend servers; if empty, the system chooses it")
	fs.StringVar(&c.logLevel, "log-level", "info", "debug, info, warn or error")
}

// Check implements Checker.
func (c *routeCommand) Check(fs *flag.FlagSet) []string {
	faults := extraArguments(fs)
	if c.settings == "" {
		c.settings = os.Getenv(platform.SettingsVariable)
	}
	if c.settings == "" {
		faults = append(faults, "-settings: no settings file is given")
	}
	if c.sourceIP != "" && net.ParseIP(c.sourceIP) == nil {
		faults = append(faults, "-source-ip: not an IP address: "+c.sourceIP)
	}
	if _, err := zapcore.ParseLevel(c.logLevel); err != nil {
		faults = append(faults, "-log-level: "+err.Error())
	}
	return faults
}

// Execute implements subcommands.Command.
func (c *routeCommand) Execute(ctx context.Context, _ *flag.FlagSet, args ...any) subcommands.ExitStatus {
	streams := streamsOf(args)
	// SIGHUP ends a process that does not receive it, also one that starts or stops.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	settings, err := platform.ReadSettings(c.settings)
	if err != nil {
		return fail(streams, err)
	}
	settings.SourceIP = net.ParseIP(c.sourceIP)
	// Errors are created without the caller's stack frame, whose capture costs CPU time.
	errors.DisableTrace()
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryBytes)))
	level, err := zapcore.ParseLevel(c.logLevel)
	if err != nil {
		return fail(streams, err)
	}
	writer := decisionlog.NewWriter(streams.Out)
	logger := decisionlog.NewLogger(writer, level).With(zap.String("vm", settings.VM))
	options := platform.RouterOptions(settings, uuid.NewString(), logger)
	options.MetricsListen = net.JoinHostPort(settings.IP, strconv.Itoa(c.metricsPort))
	r, err := router.New(options)
	if err != nil {
		return fail(streams, err)
	}
	// A stop begins with the settings as they are then: they say how long it may take.
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		defer stop()
		c.reloadSettings(ctx, hangup, r, logger)
	}()
	if err := r.Run(run); err != nil {
		logger.Error("the VM stopped because of an error", logfield.Error(err))
		return fail(streams, err)
	}
	return subcommands.ExitSuccess
}

// reloadSettings reloads the settings file at each signal of hangup, whenever it has changed, and
// when the context ends. If the file is invalid, the previous settings stay in force.
func (c *routeCommand) reloadSettings(ctx context.Context, hangup <-chan os.Signal, r *router.Router, logger *zap.Logger) {
	watcher := newFileWatcher(c.settings)
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			// SIGTERM may overtake a SIGHUP that was sent before it, and the file may have changed
			// without any.
			c.reload(r, logger)
			return
		case <-hangup:
		case <-ticker.C:
			if !watcher.changed() {
				continue
			}
		}
		c.reload(r, logger)
	}
}

// reload reads the settings file and applies what may change while the VM runs.
func (c *routeCommand) reload(r *router.Router, logger *zap.Logger) {
	settings, err := platform.ReadSettings(c.settings)
	if err != nil {
		logger.Error("settings were not reloaded", logfield.Error(err))
		return
	}
	r.Reload(platform.RouterOptions(settings, "", logger))
}

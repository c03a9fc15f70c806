package replay

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"go.uber.org/multierr"
	"go.uber.org/zap"

	"fireflyfield/internal/dev"
	"fireflyfield/internal/trace"
)

// Options are the parameters of a replay.
type Options struct {
	// Example is the name of the example deployment: dakar or serra-sul.
	Example string
	// Events contain the requests and faults to replay.
	Events []trace.Event
	// Speed divides the intervals of the script; 1 keeps the recorded speed.
	Speed float64
	// RunTime is the time that a stand-in backend server takes to run a request.
	RunTime time.Duration
	// WarmAfter is the number of answers after which a backend server is no longer cold.
	WarmAfter int
	// Trace receives the new recording. Run doesn't close it.
	Trace  *trace.Sink
	Logger *zap.Logger
}

// Summary counts the requests and answers of a replay.
type Summary struct {
	// Sent is the number of requests sent.
	Sent int
	// Statuses counts the answers by HTTP status. Zero stands for a request without a
	// complete answer.
	Statuses map[int]int
	// Late is the longest delay between the scheduled time of a request and the time at
	// which it was sent.
	Late time.Duration
}

// Run replays the events against a new deployment and stops the deployment at the end.
func Run(ctx context.Context, options Options) (Summary, error) {
	planned, err := newScript(options.Events)
	if err != nil {
		return Summary{}, err
	}
	resources, err := dev.Resources(options.Example)
	if err != nil {
		return Summary{}, err
	}
	writer, err := options.Trace.Writer(trace.WriterOptions{VM: "driver", Header: trace.Header{Role: trace.RoleDriver, Instance: uuid.NewString()}})
	if err != nil {
		return Summary{}, err
	}
	cluster, err := dev.Start(ctx, dev.Options{
		Example:   options.Example,
		Listen:    "127.0.0.1:0",
		Logger:    options.Logger,
		RunTime:   options.RunTime,
		WarmAfter: options.WarmAfter,
		Trace:     options.Trace,
	})
	if err != nil {
		return Summary{}, errors.Wrap(err, "start deployment")
	}
	d := &driver{
		script:  planned,
		speed:   options.Speed,
		sender:  newSender(cluster, resources),
		changer: &changeApplier{cluster: cluster, resources: resources, writer: writer},
	}
	err = d.run(ctx)
	err = multierr.Append(err, cluster.Stop(context.WithoutCancel(ctx)))
	return d.sender.result(), err
}

// driver sends the requests and applies the changes of a script at their times.
type driver struct {
	script  script
	speed   float64
	sender  *sender
	changer *changeApplier
	begin   time.Time
}

// run runs the requests and the changes side by side and returns when both are done.
func (d *driver) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.begin = time.Now()
	var changeErr error
	var changes sync.WaitGroup
	changes.Go(func() { changeErr = d.applyChanges(ctx) })
	err := d.sendRequests(ctx)
	d.sender.wait()
	changes.Wait()
	return multierr.Append(err, changeErr)
}

func (d *driver) sendRequests(ctx context.Context) error {
	for _, next := range d.script.requests {
		late, err := d.waitUntil(ctx, next.after)
		if err != nil {
			return err
		}
		d.sender.send(ctx, next.body.(trace.Request), late)
	}
	return nil
}

func (d *driver) applyChanges(ctx context.Context) error {
	for _, next := range d.script.changes {
		if _, err := d.waitUntil(ctx, next.after); err != nil {
			return err
		}
		if err := d.changer.apply(ctx, next.body); err != nil {
			return errors.Wrapf(err, "apply event %s at script time %s", next.body.Type(), next.after)
		}
	}
	return nil
}

// waitUntil waits until the given offset from the begin of the script and returns how
// late it woke up.
func (d *driver) waitUntil(ctx context.Context, after time.Duration) (time.Duration, error) {
	due := d.begin.Add(time.Duration(float64(after) / d.speed))
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
		return time.Since(due), nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

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

// Options describe a replay.
type Options struct {
	// Example is dakar or serra-sul.
	Example string
	// Events hold the requests and faults.
	Events []trace.Event
	// Speed divides the times of the script; 1 keeps the recorded pace.
	Speed float64
	// RunTime is the time that a stand-in backend server takes for a request.
	RunTime time.Duration
	// WarmAfter is the number of answers that ends a cold start.
	WarmAfter int
	// Trace gets the new recording. Run does not close it.
	Trace  *trace.Sink
	Logger *zap.Logger
}

// Summary is what the driver saw.
type Summary struct {
	Sent int
	// Statuses counts the answers by HTTP status; zero stands for none.
	Statuses map[int]int
	// Late is the longest time that a request was sent after its time.
	Late time.Duration
}

// Run replays the events against a new deployment, which it stops at the end.
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
		changer: &changer{cluster: cluster, resources: resources, writer: writer},
	}
	err = d.run(ctx)
	err = multierr.Append(err, cluster.Stop(context.WithoutCancel(ctx)))
	return d.sender.result(), err
}

// driver sends a script at its pace.
type driver struct {
	script  script
	speed   float64
	sender  *sender
	changer *changer
	begin   time.Time
}

func (d *driver) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.begin = time.Now()
	var changed error
	var changes sync.WaitGroup
	changes.Go(func() { changed = d.change(ctx) })
	err := d.send(ctx)
	d.sender.wait()
	changes.Wait()
	return multierr.Append(err, changed)
}

func (d *driver) send(ctx context.Context) error {
	for _, next := range d.script.requests {
		late, err := d.await(ctx, next.after)
		if err != nil {
			return err
		}
		d.sender.send(ctx, next.body.(trace.Request), late)
	}
	return nil
}

func (d *driver) change(ctx context.Context) error {
	for _, next := range d.script.changes {
		if _, err := d.await(ctx, next.after); err != nil {
			return err
		}
		if err := d.changer.apply(ctx, next.body); err != nil {
			return errors.Wrapf(err, "%s at %s", next.body.Type(), next.after)
		}
	}
	return nil
}

// await waits for a time of the script and returns by how much it was missed.
func (d *driver) await(ctx context.Context, after time.Duration) (time.Duration, error) {
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

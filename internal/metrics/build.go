package metrics

import (
	"context"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/multierr"
)

// builder creates instruments and collects their errors in err.
type builder struct {
	meter metric.Meter
	err   error
}

func (b *builder) counter(name, description string) metric.Int64Counter {
	instrument, err := b.meter.Int64Counter(name, metric.WithDescription(description))
	b.err = multierr.Append(b.err, err)
	return instrument
}

func (b *builder) byteCounter(name, description string) metric.Int64Counter {
	instrument, err := b.meter.Int64Counter(name, metric.WithDescription(description), metric.WithUnit("By"))
	b.err = multierr.Append(b.err, err)
	return instrument
}

// histogram creates a histogram in seconds with the given upper bounds.
func (b *builder) histogram(name, description string, bounds []float64) metric.Float64Histogram {
	instrument, err := b.meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(bounds...))
	b.err = multierr.Append(b.err, err)
	return instrument
}

func (b *builder) gauge(name, description string) metric.Int64ObservableGauge {
	instrument, err := b.meter.Int64ObservableGauge(name, metric.WithDescription(description))
	b.err = multierr.Append(b.err, err)
	return instrument
}

// secondsGauge creates a gauge in seconds.
func (b *builder) secondsGauge(name, description string) metric.Float64ObservableGauge {
	instrument, err := b.meter.Float64ObservableGauge(name, metric.WithDescription(description), metric.WithUnit("s"))
	b.err = multierr.Append(b.err, err)
	return instrument
}

func (b *builder) observableCounter(name, description string) metric.Int64ObservableCounter {
	instrument, err := b.meter.Int64ObservableCounter(name, metric.WithDescription(description))
	b.err = multierr.Append(b.err, err)
	return instrument
}

// registerCallback registers the function that observes the instruments whenever they
// are collected.
func (b *builder) registerCallback(observe func(metric.Observer), instruments ...metric.Observable) {
	_, err := b.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		observe(o)
		return nil
	}, instruments...)
	b.err = multierr.Append(b.err, err)
}

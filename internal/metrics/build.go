package metrics

import (
	"context"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/multierr"
)

// builder creates instruments and collects the errors.
type builder struct {
	meter metric.Meter
	err   error
}

func (b *builder) counter(name, description string) metric.Int64Counter {
	made, err := b.meter.Int64Counter(name, metric.WithDescription(description))
	b.err = multierr.Append(b.err, err)
	return made
}

func (b *builder) byteCounter(name, description string) metric.Int64Counter {
	made, err := b.meter.Int64Counter(name, metric.WithDescription(description), metric.WithUnit("By"))
	b.err = multierr.Append(b.err, err)
	return made
}

func (b *builder) histogram(name, description string, bounds []float64) metric.Float64Histogram {
	made, err := b.meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(bounds...))
	b.err = multierr.Append(b.err, err)
	return made
}

func (b *builder) gauge(name, description string) metric.Int64ObservableGauge {
	made, err := b.meter.Int64ObservableGauge(name, metric.WithDescription(description))
	b.err = multierr.Append(b.err, err)
	return made
}

func (b *builder) secondsGauge(name, description string) metric.Float64ObservableGauge {
	made, err := b.meter.Float64ObservableGauge(name, metric.WithDescription(description), metric.WithUnit("s"))
	b.err = multierr.Append(b.err, err)
	return made
}

func (b *builder) observableCounter(name, description string) metric.Int64ObservableCounter {
	made, err := b.meter.Int64ObservableCounter(name, metric.WithDescription(description))
	b.err = multierr.Append(b.err, err)
	return made
}

func (b *builder) registerCallback(call func(metric.Observer), instruments ...metric.Observable) {
	_, err := b.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		call(o)
		return nil
	}, instruments...)
	b.err = multierr.Append(b.err, err)
}

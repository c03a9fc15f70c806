package dispatch

// Observer is notified of retries and hedges, for metrics. Its methods are called
// concurrently and must not block.
type Observer interface {
	// Retried is called before each attempt that follows a failed one, unless that one
	// failed because its route was stale.
	Retried(service string)
	// Hedged is called before each attempt that is started while a slow first one is in
	// flight.
	Hedged(service string)
}

// SetObserver sets the observer. It must be called before the first Dispatch.
func (d *Dispatcher) SetObserver(observer Observer) { d.observer = observer }

func (d *Dispatcher) retried(service string) {
	if d.observer != nil {
		d.observer.Retried(service)
	}
}

func (d *Dispatcher) hedged(service string) {
	if d.observer != nil {
		d.observer.Hedged(service)
	}
}

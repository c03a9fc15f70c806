package dispatch

// Observer is told of further attempts, for counters. Its methods are called by
// several goroutines and must not block.
type Observer interface {
	// Retried is called for each attempt after a failed one, other than attempts
	// that follow a stale route.
	Retried(service string)
	// Hedged is called for each second attempt beside a slow first one.
	Hedged(service string)
}

// SetObserver sets the observer; it is called before the first Dispatch.
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

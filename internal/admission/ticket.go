package admission

// Ticket is the right to send one request to the backend server. The zero Ticket
// comes with a refusal and gives no right.
type Ticket struct {
	gate *Gate
	slot slotID
}

// MaySend reports whether the request may still be sent. Call it immediately before
// the first byte: between Admit and the send the process may have been paused past
// the role lease. If it is refused, nothing may be sent, and the ticket still has to
// be ended with Done.
func (t Ticket) MaySend() Refusal {
	g := t.gate
	if g == nil {
		return Refusal{Reason: Cancelled}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.maySend(g.now(), t.slot)
}

// Done frees the slot and tells the gate what the request showed. Further calls
// have no effect.
func (t Ticket) Done(o Observation) {
	g := t.gate
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state.leave(g.now(), t.slot, o) {
		g.signalDrained()
	}
}

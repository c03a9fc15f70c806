package admission

// Ticket is the permission to send one request to the backend server. The zero
// Ticket, which accompanies a refusal, permits nothing.
type Ticket struct {
	gate *Gate
	slot slotID
}

// MaySend checks whether the request may still be sent. Call it immediately before
// the first byte is sent: between Admit and the send the process may have been
// paused until after the expiry of the role lease. After a refusal nothing may be
// sent, and the ticket must still be ended with Done.
func (t Ticket) MaySend() Refusal {
	g := t.gate
	if g == nil {
		return Refusal{Reason: Cancelled}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.maySend(g.now(), t.slot)
}

// Done frees the slot and passes the gate the result of the request. Further calls
// have no effect.
func (t Ticket) Done(o Observation) {
	g := t.gate
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state.finish(g.now(), t.slot, o) {
		g.closeDrainedIfIdle()
	}
}

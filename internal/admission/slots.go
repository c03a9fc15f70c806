package admission

// slotID identifies one admission. The generation distinguishes it from later
// admissions with the same index, so that a second release has no effect.
type slotID struct {
	index      int
	generation uint64
}

// admission holds the gate's data about one request in flight.
type admission struct {
	generation uint64
	inUse      bool
	// epoch and window are the values of state.epoch and ramp.window at the admission.
	epoch  uint64
	window uint64
	// filledLimit says that the limit was reached with this request.
	filledLimit bool
}

// slotTable holds the requests in flight. free lists the unused indexes of entries.
type slotTable struct {
	entries []admission
	free    []int
	inUse   int
}

// take adds a request in flight.
func (t *slotTable) take(epoch, window uint64, filledLimit bool) slotID {
	if len(t.free) == 0 {
		t.entries = append(t.entries, admission{})
		t.free = append(t.free, len(t.entries)-1)
	}
	last := len(t.free) - 1
	index := t.free[last]
	t.free = t.free[:last]
	entry := &t.entries[index]
	*entry = admission{generation: entry.generation + 1, inUse: true, epoch: epoch, window: window, filledLimit: filledLimit}
	t.inUse++
	return slotID{index: index, generation: entry.generation}
}

// get returns the request in the slot; ok is false if the slot was released.
func (t *slotTable) get(id slotID) (request admission, ok bool) {
	request = t.entries[id.index]
	return request, request.inUse && request.generation == id.generation
}

// release frees the slot; ok is false if it had been released before.
func (t *slotTable) release(id slotID) (released admission, ok bool) {
	released, ok = t.get(id)
	if !ok {
		return admission{}, false
	}
	t.entries[id.index].inUse = false
	t.free = append(t.free, id.index)
	t.inUse--
	return released, true
}

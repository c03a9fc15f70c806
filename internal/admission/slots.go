package admission

// slotID names one admission. The generation makes a second release harmless.
type slotID struct {
	index      int
	generation uint64
}

// admission is what the gate remembers of one request in flight.
type admission struct {
	generation uint64
	inUse      bool
	// epoch and window are those of the gate when the request was admitted.
	epoch  uint64
	window uint64
	// filled says that the request filled the limit.
	filled bool
}

// slotTable holds the requests in flight.
type slotTable struct {
	entries []admission
	free    []int
	inUse   int
}

func (t *slotTable) take(epoch, window uint64, filled bool) slotID {
	if len(t.free) == 0 {
		t.entries = append(t.entries, admission{})
		t.free = append(t.free, len(t.entries)-1)
	}
	last := len(t.free) - 1
	index := t.free[last]
	t.free = t.free[:last]
	entry := &t.entries[index]
	*entry = admission{generation: entry.generation + 1, inUse: true, epoch: epoch, window: window, filled: filled}
	t.inUse++
	return slotID{index: index, generation: entry.generation}
}

// get returns the request; ok is false if its slot was released.
func (t *slotTable) get(id slotID) (request admission, ok bool) {
	request = t.entries[id.index]
	return request, request.inUse && request.generation == id.generation
}

// release frees the slot; ok is false if it was released before.
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

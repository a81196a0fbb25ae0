package world

// faults is the timeline of what goes wrong.
type faults struct{ w *World }

func newFaults(w *World) *faults { return &faults{w: w} }

func (f *faults) begin() { panic("todo") }

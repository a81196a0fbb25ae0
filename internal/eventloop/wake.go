package eventloop

// Post calls act on the loop's goroutine in its next iteration. It may be called from any goroutine.
func (l *Loop) Post(act func()) {
	l.postMutex.Lock()
	l.posted = append(l.posted, act)
	l.postMutex.Unlock()
	l.Wake()
}

// Wake makes the loop call its hook Woken in its next iteration. It may be called from any goroutine.
func (l *Loop) Wake() {
	for range maxWakeTries {
		_, err := l.syscalls.Write(l.wakeFD, []byte{1, 0, 0, 0, 0, 0, 0, 0})
		if Classify(CallWrite, err) != ErrorRetry { // written, or EAGAIN: the counter is full, which wakes the loop as well
			return
		}
	}
}

// maxWakeTries limits the tries of a write that is interrupted each time.
const maxWakeTries = 1000

// waker is the handler of the descriptor that wakes the loop, and the owner of timers and functions that have no other.
type waker Loop

// HandleEvents calls the posted functions, and the hook Woken.
func (w *waker) HandleEvents(uint32) {
	var count [8]byte
	_, _ = w.syscalls.Read(w.wakeFD, count[:])
	w.postMutex.Lock()
	posted := w.posted
	w.posted = nil
	w.postMutex.Unlock()
	for _, act := range posted {
		act()
	}
	if w.hooks.Woken != nil {
		w.hooks.Woken()
	}
}

// HandlePanic does nothing: the loop keeps working.
func (w *waker) HandlePanic() {}

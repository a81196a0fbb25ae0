package eventloop

// Post has the loop call act soon. It may be called from any goroutine.
func (l *Loop) Post(act func()) {
	l.posting.Lock()
	l.posted = append(l.posted, act)
	l.posting.Unlock()
	l.Wake()
}

// Wake has the loop call its hook Woken soon. It may be called from any goroutine.
func (l *Loop) Wake() {
	for range maxWakeTries {
		_, err := l.syscalls.Write(l.wakeFD, []byte{1, 0, 0, 0, 0, 0, 0, 0})
		if Classify(CallWrite, err) != ErrorRetry { // else it was interrupted; its counter being full wakes the loop as well
			return
		}
	}
}

// maxWakeTries bounds how often a wake that is interrupted is made again.
const maxWakeTries = 1000

// waker is the handler of the descriptor that wakes the loop, and the owner of timers and acts that have no other.
type waker Loop

// HandleEvents calls what was posted, and the hook.
func (w *waker) HandleEvents(uint32) {
	var count [8]byte
	_, _ = w.syscalls.Read(w.wakeFD, count[:])
	w.posting.Lock()
	posted := w.posted
	w.posted = nil
	w.posting.Unlock()
	for _, act := range posted {
		act()
	}
	if w.hooks.Woken != nil {
		w.hooks.Woken()
	}
}

// HandlePanic has nothing to end.
func (w *waker) HandlePanic() {}

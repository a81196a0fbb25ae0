package process

import (
	"fmt"
	"io"
	"os"
	"sync"
)

// logFile stores the output of a scheduler's processes, up to maxLog bytes, and counts the bytes beyond that.
type logFile struct {
	path    string
	lock    sync.Mutex // a process may still write while its successor does
	file    *os.File   // created by the first write
	kept    int        // bytes
	dropped int        // bytes
	failure error      // after which nothing more is stored
}

// Write accepts all bytes and never fails, so that no process blocks or ends because of its log.
func (l *logFile) Write(b []byte) (int, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.file == nil && l.failure == nil {
		l.file, l.failure = os.Create(l.path)
	}
	keep := b[:min(len(b), maxLog-l.kept)]
	if l.failure == nil && len(keep) > 0 {
		_, l.failure = l.file.Write(keep)
	}
	l.kept += len(keep)
	l.dropped += len(b) - len(keep)
	return len(b), nil
}

func (l *logFile) close() {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.file == nil {
		return
	}
	if l.dropped > 0 {
		_, _ = io.WriteString(l.file, fmt.Sprintf("\n... and %d bytes more\n", l.dropped))
	}
	_ = l.file.Close()
	l.file, l.failure = nil, os.ErrClosed
}

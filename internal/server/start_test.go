package server

import (
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// signalInterval is the time between two signals of a series.
const signalInterval = 10 * time.Millisecond

// A process that receives SIGTERM while its start is retried ends immediately, without an error: no client is served yet.
func TestTermWhileStartIsRetried(t *testing.T) {
	delivered := make(chan os.Signal, 1) // a SIGTERM before Run handles signals would end the test process
	signal.Notify(delivered, syscall.SIGTERM)
	defer signal.Stop(delivered)
	path := filepath.Join(t.TempDir(), "config.json")
	taken := strings.Replace(testConfig, `"listen":"127.0.0.1:0"`, `"listen":"`+listen(t).Addr().String()+`"`, 1)
	if err := os.WriteFile(path, []byte(taken), 0o600); err != nil {
		t.Fatal(err)
	}
	end := make(chan error, 1)
	go func() {
		end <- Run(func(name string) string { return map[string]string{"PROXY_CONFIG": path}[name] }, "", io.Discard)
	}()
	for {
		select {
		case err := <-end:
			if err != nil {
				t.Errorf("Run returned %v", err)
			}
			return
		case <-time.After(signalInterval):
			_ = syscall.Kill(os.Getpid(), syscall.SIGTERM)
		}
	}
}

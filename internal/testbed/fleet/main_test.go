package fleet

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
)

// TestMain also runs the test's program as the child processes that a measurement starts.
func TestMain(m *testing.M) {
	var err error
	switch os.Getenv("FLEET_TEST_AS") {
	case "rig":
		err = RunRigProcess(os.Stdin, os.Stdout)
	case "proxy":
		err = RunProxyProcess(os.Stdin)
	default:
		os.Exit(m.Run())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// childCommand is a command line that runs this program as a child process: "rig" or "proxy".
func childCommand(kind string) []string {
	return []string{"/usr/bin/env", "FLEET_TEST_AS=" + kind, os.Args[0]}
}

// testRig starts a rig, and closes it at the end of the test.
func testRig(t *testing.T, spec Spec) *Rig {
	t.Helper()
	rig, err := NewRig(spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(rig.Close)
	return rig
}

// serveScheduler serves at the scheduler's address of a rig until the end of the test.
func serveScheduler(t *testing.T, rig *Rig, handler http.HandlerFunc) {
	t.Helper()
	listener, err := net.Listen("tcp", rig.Addresses().Scheduler)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

// do sends a request, and returns the response's status and body. An empty requestID is not sent.
func do(t *testing.T, method, url, requestID string) (status int, body string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	if requestID != "" {
		request.Header.Set("X-Call-Id", requestID)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(text)
}

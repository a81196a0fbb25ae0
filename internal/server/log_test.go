package server

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
)

// A scheduler that starts with 10,000 known workers logs few lines. Each is a JSON object with the documented fields.
func TestLogOfStartWithManyWorkers(t *testing.T) {
	endpoints := ""
	for n := range 9_999 {
		endpoints += fmt.Sprintf(`{"instanceId":"t-%d","lifecycle":"up"},`, n)
	}
	discovery, err := net.Listen("tcp", "127.0.0.1:0") // accepts the watch and sends nothing, so that no watch failure is logged
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = discovery.Close() }()
	s := startWith(t, strings.NewReplacer(`"instances":[`, `"instances":[`+endpoints, "127.0.0.1:1", discovery.Addr().String()).
		Replace(testConfig), "[log]\nformat = 'json'")
	s.signal(syscall.SIGTERM)
	if err := <-s.result; err != nil {
		t.Error(err)
	}
	lines, reported := 1, 0
	for ; s.logLines.Scan(); lines++ {
		var f map[string]any
		if err := json.Unmarshal(s.logLines.Bytes(), &f); err != nil || f["time"] == nil || f["level"] != "INFO" || f["scheduler"] != "n0" {
			t.Errorf("%q: %v", s.logLines.Text(), err)
		}
		if added, ok := f["added"].(float64); ok {
			reported += int(added)
		}
	}
	if lines > 5 || reported != 10_000 {
		t.Errorf("%d lines, %d endpoints reported", lines, reported)
	}
}

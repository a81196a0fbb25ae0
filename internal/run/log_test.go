package run

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"testing"
)

// A scheduler that knows 10,000 worker nodes at its start says so in few lines; in JSON each is an object with the
// fields that it should have.
func TestLogOfALargeStart(t *testing.T) {
	hosts := ""
	for n := range 9_999 {
		hosts += fmt.Sprintf(`{"instanceId":"t-%d","lifecycle":"up"},`, n)
	}
	s := startWith(t, strings.Replace(conf, `"instances":[`, `"instances":[`+hosts, 1), "[log]\nformat = 'json'")
	s.signal(syscall.SIGTERM)
	if err := <-s.end; err != nil {
		t.Error(err)
	}
	lines, told := 1, 0
	for ; s.lines.Scan(); lines++ {
		var f map[string]any
		if err := json.Unmarshal(s.lines.Bytes(), &f); err != nil || f["time"] == nil || f["level"] != "INFO" || f["scheduler"] != "n0" {
			t.Errorf("%q: %v", s.lines.Text(), err)
		}
		if added, ok := f["added"].(float64); ok {
			told += int(added)
		}
	}
	if lines > 5 || told != 10_000 {
		t.Errorf("%d lines, %d hosts told", lines, told)
	}
}

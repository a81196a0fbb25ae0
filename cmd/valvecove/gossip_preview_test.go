package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The preview describes the exchange of leases between schedulers: the number of peers, the budget and the price, or why it is
// disabled.
func TestPreviewOfGossip(t *testing.T) {
	const peers = `"peer_listen":"127.0.0.1:9002","peers":["127.0.0.1:9001","127.0.0.1:9002","127.0.0.1:9003"],`
	noStarts := strings.NewReplacer(`"name":"n0",`, `"name":"n0",`+peers, `"try_limit":6`, `"try_limit":6,"peers":true`,
		`"bounds":`, `"prices":{"peer":0.025},"bounds":`).Replace(platformFile)
	allowed := strings.Replace(noStarts, `"prices":`, `"domain":{"tells_start":true},"prices":`, 1)
	for _, c := range []struct{ name, platform, ops, want string }{
		{"on", allowed, "[gossip]", "leases of slots, at 127.0.0.1:9002 with 2 peers, budget 0.02 of the result, price 0.025 for 256 bytes a job"},
		{"no section", allowed, "", "off"},
		{"not allowed", platformFile, "[gossip]", "off, as the platform's file does not allow it, or has no addresses"},
		{"no starts", noStarts, "[gossip]", "off, as workers notify of no starts"},
		{"budget too small", allowed, "[gossip]\nbudget = 0.001", "off, as messages would cost more than they may: budget 0.001 of the result, price 0.025 for 256 bytes a job"},
		{"no budget", allowed, "[gossip]\nbudget = 0", "off, as messages would cost more than they may: budget 0 of the result, price 0.025 for 256 bytes a job"},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			platform, ops := filepath.Join(dir, "platform"), filepath.Join(dir, "ours")
			for path, text := range map[string]string{platform: c.platform, ops: c.ops} {
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			var stdout, stderr bytes.Buffer
			code := execute([]string{"--config", ops, "check", "--platform", platform}, func(string) string { return "" }, &stdout, &stderr)
			if want := "\ngossip     " + c.want + "\n"; code != 0 || !strings.Contains(stdout.String(), want) {
				t.Errorf("exit %d, %s, expected %q in\n%s", code, &stderr, want, &stdout)
			}
		})
	}
}

package config

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

func TestLoadNeedsAFile(t *testing.T) {
	if _, err := Load(noEnvironment); err == nil || !strings.HasPrefix(err.Error(), "PROXY_CONFIG: not set") {
		t.Errorf("%v", err)
	}
}

// What can't change in a running process stays, and is named; after an error everything stays.
func TestReload(t *testing.T) {
	directory := t.TempDir()
	env := environment(map[string]string{"PROXY_CONFIG": writeFile(t, directory, "config.json", validPlatform)})
	running, err := Load(env)
	if err != nil {
		t.Fatal(err)
	}

	writeFile(t, directory, "config.json", strings.NewReplacer(`:8500"`, `:8501"`, `"sockets":1024`, `"sockets":512`,
		`:9000"`, `:9001"`, `"8c1f"`, `"1"`, `"try_limit":6`, `"try_limit":5`).Replace(validPlatform))
	next, kept, err := running.Reload(env)
	if err != nil || next.Discovery.Port() != 8501 || next.Limits.Sockets != 512 || next.Listen != running.Listen ||
		next.Settings.AttemptLimit != 6 || next.Seed != running.Seed || strings.Join(kept, " ") != "listen settings" {
		t.Errorf("%+v, kept %v, %v", next, kept, err)
	}

	writeFile(t, directory, "config.json", strings.Replace(validPlatform, `"127.0.0.1:8500"`, `"there"`, 1))
	next, _, err = running.Reload(env)
	if err == nil || !strings.Contains(err.Error(), `key "discovery"`) || next.Discovery != running.Discovery {
		t.Errorf("%v, %v", next.Discovery, err)
	}
}

// All errors of both files are reported in order and with the file, and Load returns the first. What follows from an error
// is not reported beside it.
func TestLoadAllErrors(t *testing.T) {
	for _, test := range []struct {
		name     string
		platform []string // what is replaced in validPlatform, by what
		ops      string
		want     string
	}{
		{
			"both files",
			[]string{
				`"listen":"127.0.0.1:9000"`, `"listen":"here"`, `"memory_mb":192`, `"memory_mb":"all"`, `"sockets":1024`, `"sockets":7`,
				`"give_up":5000000`, `"give_up":0`, `"name":"b"`, `"nom":"b"`, `"try_limit":6`, `"try_limit":"x"`,
			},
			"[no]",
			`/c: key "limits.memory_mb": expected a number; /c: key "settings.bounds.try_limit": expected a number; ` +
				`/c: key "listen": expected an address and port, got "here"; /c: key "limits.sockets": expected 64 at least, got 7; ` +
				`/c: key "settings.classes[0].give_up": expected more than 0, got 0s; /c: key "settings.classes[1].name": missing; ` +
				`/o: key "no": not known`,
		},
		{
			"under a key with an error",
			[]string{`"settings":{`, `"settings":[],"x":{`, `:8500"`, `"`},
			"[status]\nlisten_port = 9000",
			`/c: key "settings": expected an object; /c: key "discovery": expected an address and port, got "127.0.0.1"`,
		},
		{
			"malformed text",
			[]string{`"listen":"127.0.0.1:9000"`, `"listen":9`, `"seed":"8c1f"`, `"seed":`},
			"",
			`/c: key "listen": expected text; /c: key "seed": expected text`,
		},
		{
			"operators' file",
			nil,
			"[status]\nlisten_port = 9000\n[log]\nlevel = 1\n[capture]\nmemory_kb = 1048577\nmore = 1\nless = 1",
			`/o: key "log.level": expected text; /o: key "capture.memory_kb": expected 64 to 1048576, got 1048577; ` +
				`/o: key "capture.less": not known; /o: key "capture.more": not known; ` +
				`/o: key "status.listen_port": 9000 is the port of PROXY_LISTEN`,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			directory := t.TempDir()
			platform := writeFile(t, directory, "c", strings.NewReplacer(test.platform...).Replace(validPlatform))
			env := environment(map[string]string{"PROXY_CONFIG": platform})
			_, _, errs := LoadAll(env, writeFile(t, directory, "o", test.ops))
			var messages []string
			for _, err := range errs {
				messages = append(messages, strings.TrimPrefix(err.Error(), directory))
			}
			if got := strings.Join(messages, "; "); got != test.want {
				t.Errorf("%s,\nexpected %s", got, test.want)
			}
			if _, err := Load(env); len(test.platform) > 0 && (err == nil || err.Error() != errs[0].Error()) {
				t.Errorf("Load returns %v, expected %v", err, errs[0])
			}
		})
	}
}

func TestLoadAllBoundsErrorsOfAFile(t *testing.T) {
	directory := t.TempDir()
	var text strings.Builder
	text.WriteString("[replay]\n")
	for n := range 2 * maxKeyErrors {
		fmt.Fprintf(&text, "k%d = 1\n", n)
	}
	env := environment(map[string]string{"PROXY_CONFIG": writeFile(t, directory, "c", validPlatform)})
	if _, _, errs := LoadAll(env, writeFile(t, directory, "o", text.String())); len(errs) != maxKeyErrors {
		t.Errorf("%d errors, expected %d", len(errs), maxKeyErrors)
	}
}

// The socket between schedulers, and whom it hears, stay as they were at the start.
func TestReloadKeepsPeers(t *testing.T) {
	directory := t.TempDir()
	env := environment(map[string]string{"PROXY_CONFIG": writeFile(t, directory, "config.json", withPeers())})
	running, err := Load(env)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, directory, "config.json", withPeers(`"127.0.0.1:7946"`, `"127.0.0.1:7947"`, `"127.0.1.1:7946"`, `"127.0.1.9:7946"`))
	next, kept, err := running.Reload(env)
	if err != nil || !slices.Equal(kept, []string{"peer_listen", "peers"}) {
		t.Errorf("kept %v, %v", kept, err)
	}
	if next.PeerListen != running.PeerListen || !slices.Equal(next.Peers, running.Peers) {
		t.Errorf("goes on at %v with %v", next.PeerListen, next.Peers)
	}
}

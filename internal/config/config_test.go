package config

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

func TestLoadWithoutConfigPath(t *testing.T) {
	if _, err := Load(noEnvironment); err == nil || !strings.HasPrefix(err.Error(), "PROXY_CONFIG: not set") {
		t.Errorf("without PROXY_CONFIG: %v", err)
	}
}

// Reload keeps the settings that can't change in a running process, and returns their keys. If the file has an error, Reload
// keeps the whole configuration.
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
		t.Errorf("%+v, kept keys %v, %v", next, kept, err)
	}

	writeFile(t, directory, "config.json", strings.Replace(validPlatform, `"127.0.0.1:8500"`, `"there"`, 1))
	next, _, err = running.Reload(env)
	if err == nil || !strings.Contains(err.Error(), `key "discovery"`) || next.Discovery != running.Discovery {
		t.Errorf("with an error in the file: discovery %v, %v", next.Discovery, err)
	}
}

// LoadAll returns all errors of both files in order, each with the path of its file, and Load returns the first of them. Errors
// that may only follow from another one are left out: those below a key with an error, those of missing keys if the platform's
// file is malformed, and those of conflicts between the files if the platform's file has any error.
func TestLoadAllErrors(t *testing.T) {
	for _, test := range []struct {
		name     string
		platform []string // old and new texts, in pairs, that are replaced in validPlatform
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
				t.Errorf("errors: %s,\nexpected %s", got, test.want)
			}
			if _, err := Load(env); len(test.platform) > 0 && (err == nil || err.Error() != errs[0].Error()) {
				t.Errorf("Load returns %v, expected %v", err, errs[0])
			}
		})
	}
}

func TestLoadAllLimitsErrorsPerFile(t *testing.T) {
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

// Reload keeps the address of the socket for messages between schedulers, and the addresses of the peers.
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
		t.Errorf("kept keys %v, %v", kept, err)
	}
	if next.PeerListen != running.PeerListen || !slices.Equal(next.Peers, running.Peers) {
		t.Errorf("after Reload: PeerListen %v, Peers %v", next.PeerListen, next.Peers)
	}
}

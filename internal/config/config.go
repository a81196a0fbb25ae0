// Package config reads, checks and completes configuration: the platform's file, which is JSON, and the operators' own
// file, which is TOML. It owns all defaults and bounds of both. Errors name the key that they are about. The package
// starts nothing and writes nothing; what it returns belongs to the caller.
package config

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"

	"valvecove/internal/requests"
)

// Config is the platform's configuration of one scheduler.
type Config struct {
	Name      string
	Listen    netip.AddrPort // where clients connect
	Discovery netip.AddrPort // where the endpoint list is watched
	// Management is where operators' calls are answered; not valid: nowhere.
	Management netip.AddrPort
	// StateDir holds what outlives the process, for the one that replaces it: $TMPDIR if Management is valid, else empty.
	StateDir string
	// PeerListen is where datagrams of other schedulers arrive, and Peers are the addresses from which they come, by the
	// schedulers' numbers, this one's included; not valid and nil: schedulers tell each other nothing.
	PeerListen netip.AddrPort
	Peers      []netip.AddrPort
	// Seed is that of all random draws.
	Seed   uint64
	Limits Limits
	// KnownEndpoints is the endpoint list as the platform last saw it, perhaps long ago.
	KnownEndpoints requests.EndpointList
	Settings       Settings
	// PlatformSettings is the text from which Settings were decoded, for DecodeSettings.
	PlatformSettings []byte
}

// errNoFile reports that nothing names the platform's file.
var errNoFile = errors.New("PROXY_CONFIG: not set; it names the configuration file")

// Load reads the platform's file, which PROXY_CONFIG names. PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY and
// PROXY_MANAGEMENT stand in for keys that it lacks. The error is the first of those that LoadAll returns.
func Load(env func(string) string) (Config, error) {
	config, errs := load(env)
	if len(errs) > 0 {
		return Config{}, errs[0]
	}
	return config, nil
}

// load is Load with all errors, in the order in which they were found.
func load(env func(string) string) (Config, []error) {
	path := env("PROXY_CONFIG")
	if path == "" {
		return Config{}, []error{errNoFile}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, []error{fmt.Errorf("PROXY_CONFIG: %w", err)}
	}
	config, errs := decode(text, env)
	return config, errs.in(path)
}

// LoadAll reads the platform's file, as Load does, and the operators' file, as LoadOps does. It checks them together if
// the platform's has no errors. It returns all errors of both, in the order in which they were found; what was read is
// complete only if there are none.
func LoadAll(env func(string) string, opsPath string) (Config, Ops, []error) {
	config, errs := load(env)
	ops, opsErrors, err := loadOps(opsPath)
	if err != nil {
		return config, ops, append(errs, err)
	}
	if len(errs) == 0 {
		ops.checkAgainst(config, &opsErrors)
	}
	return config, ops, append(errs, opsErrors.in(opsPath)...)
}

// Reload reads the file again for a scheduler that runs by c. What can't change in a running process stays as it is in
// c; kept names the keys of it that differ in the file. After an error next is c.
func (c Config) Reload(env func(string) string) (next Config, kept []string, err error) {
	next, err = Load(env)
	if err != nil {
		return c, nil, err
	}
	for _, fixed := range []struct {
		key     string
		differs bool
	}{
		{"name", next.Name != c.Name},
		{"listen", next.Listen != c.Listen},
		{"management", next.Management != c.Management},
		{"peer_listen", next.PeerListen != c.PeerListen},
		{"peers", !slices.Equal(next.Peers, c.Peers)},
		{"limits.cores", next.Limits.Cores != c.Limits.Cores},
		{"settings", !reflect.DeepEqual(next.Settings, c.Settings)},
	} {
		if fixed.differs {
			kept = append(kept, fixed.key)
		}
	}
	next.Name = c.Name
	next.Listen = c.Listen
	next.Management = c.Management
	next.PeerListen = c.PeerListen
	next.Peers = c.Peers
	next.StateDir = c.StateDir
	next.Seed = c.Seed
	next.Limits.Cores = c.Limits.Cores
	next.KnownEndpoints = c.KnownEndpoints
	next.Settings = c.Settings
	return next, kept, nil
}

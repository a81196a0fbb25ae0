// Package config reads and validates the configuration: the platform's file in JSON, and the operators' file in TOML. It defines
// all defaults and bounds of both. Each error contains the key that it is about. The package has no side effects, and its results
// are owned by the caller.
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
	Listen    netip.AddrPort // address for clients and for callbacks of workers
	Discovery netip.AddrPort // address of the discovery service
	// Management is the address for operators' calls. If it is not valid, there are none.
	Management netip.AddrPort
	// StateDir is the directory for state that a later process needs: $TMPDIR if Management is valid, else empty.
	StateDir string
	// PeerListen is the local address for datagrams from other schedulers. Peers contains the source address of the datagrams of
	// each scheduler, including this one, indexed by the scheduler's number. If schedulers exchange no messages, PeerListen is
	// not valid and Peers is nil.
	PeerListen netip.AddrPort
	Peers      []netip.AddrPort
	// Seed is the seed of all random numbers.
	Seed   uint64
	Limits Limits
	// KnownEndpoints is the last endpoint list that the platform had. It may be out of date.
	KnownEndpoints requests.EndpointList
	Settings       Settings
	// PlatformSettings is the JSON from which Settings was decoded; see DecodeSettings.
	PlatformSettings []byte
}

// errNoFile is returned if PROXY_CONFIG is not set.
var errNoFile = errors.New("PROXY_CONFIG: not set; it names the configuration file")

// Load reads the platform's file at the path in PROXY_CONFIG. PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY and PROXY_MANAGEMENT are
// the defaults of missing keys. env returns the value of an environment variable. The error is the first one of LoadAll.
func Load(env func(string) string) (Config, error) {
	config, errs := load(env)
	if len(errs) > 0 {
		return Config{}, errs[0]
	}
	return config, nil
}

// load is Load with all errors, in order of detection.
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
	return config, errs.withPath(path)
}

// LoadAll reads the platform's file like Load, and the operators' file like LoadOps. If the platform's file has no errors, it
// also checks them against each other. It returns all errors, in order of detection. The configurations are complete only if
// there are none.
func LoadAll(env func(string) string, opsPath string) (Config, Ops, []error) {
	config, errs := load(env)
	ops, opsErrors, err := loadOps(opsPath)
	if err != nil {
		return config, ops, append(errs, err)
	}
	if len(errs) == 0 {
		ops.checkAgainst(config, &opsErrors)
	}
	return config, ops, append(errs, opsErrors.withPath(opsPath)...)
}

// Reload reads the platform's file again for a running scheduler with configuration c. Settings that can't change in a running
// process keep the values of c; kept contains the keys of those that differ in the file. If there is an error, next is c.
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

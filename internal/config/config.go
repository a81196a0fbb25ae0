// Package config is the one place where configuration is read, checked and given defaults. What is wrong is
// named by its key.
package config

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"

	jsoniter "github.com/json-iterator/go"

	"valvecove/internal/ledger"
)

// Limits are what the machine allows.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int // file descriptors of the process
}

// Config is all that a scheduler is told at its start.
type Config struct {
	Name      string
	Listen    netip.AddrPort
	Discovery netip.AddrPort
	Seed      uint64
	Limits    Limits
	Known     ledger.HostGroup // as it was last seen, perhaps long ago
	Settings  Settings
	Platform  []byte // the settings as the platform's text has them
}

// Limits where the configuration names none: those of the smallest machine that the platform has.
var defaultLimits = Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}

// fewestSockets leaves room for the scheduler's own descriptors, some server links and some client links.
const fewestSockets = 64

// Load reads the file that PROXY_CONFIG names; PROXY_NAME, PROXY_LISTEN and PROXY_DISCOVERY stand in for keys
// that it lacks.
func Load(env func(string) string) (Config, error) {
	path := env("PROXY_CONFIG")
	if path == "" {
		return Config{}, errors.New("PROXY_CONFIG: not set; it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	c, err := Decode(text, env)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Reload reads the file again for a scheduler that runs by c. What can't change under way stays as it is in c;
// kept names the keys of it that the file now has otherwise. On a fault all of c stays.
func (c Config) Reload(env func(string) string) (next Config, kept []string, err error) {
	next, err = Load(env)
	if err != nil {
		return c, nil, err
	}
	stays := func(key string, differs bool) {
		if differs {
			kept = append(kept, key)
		}
	}
	stays("name", next.Name != c.Name)
	stays("listen", next.Listen != c.Listen)
	stays("limits.cores", next.Limits.Cores != c.Limits.Cores)
	stays("settings", !reflect.DeepEqual(next.Settings, c.Settings))
	next.Limits.Cores = c.Limits.Cores
	next.Name, next.Listen, next.Settings, next.Seed, next.Known = c.Name, c.Listen, c.Settings, c.Seed, c.Known
	return next, kept, nil
}

// Decode reads a configuration from its text.
func Decode(text []byte, env func(string) string) (Config, error) {
	c := Config{Limits: defaultLimits}
	d := decoder{walker: walker{it: jsoniter.ParseBytes(jsoniter.ConfigDefault, text)}}
	listen, discovery, seed, settings := "", "", "", false
	d.object(func(key string) {
		switch key {
		case "name":
			c.Name = d.text()
		case "listen":
			listen = d.text()
		case "discovery":
			discovery = d.text()
		case "seed":
			seed = d.text()
		case "limits":
			d.object(func(key string) {
				switch key {
				case "cores":
					c.Limits.Cores = d.number()
				case "memory_mb":
					c.Limits.MemoryMB = int(d.number())
				case "sockets":
					c.Limits.Sockets = d.whole()
				default:
					d.skip()
				}
			})
		case "known":
			if d.is(jsoniter.ObjectValue, "an object") {
				d.it.ReadVal(&c.Known)
			}
		case "settings":
			settings = true
			d.settings()
		default:
			d.skip()
		}
	})
	if d.err == nil {
		d.end()
	}
	if d.err != nil {
		return c, d.err
	}
	c.Settings, c.Platform = d.set, []byte(jsoniter.Get(text, "settings").ToString())
	var err error
	if c.Name == "" {
		c.Name = env("PROXY_NAME")
	}
	if c.Listen, err = address("listen", "PROXY_LISTEN", listen, env); err != nil {
		return c, err
	}
	if c.Discovery, err = address("discovery", "PROXY_DISCOVERY", discovery, env); err != nil {
		return c, err
	}
	if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
		h := fnv.New64a() // any text will do for a seed
		h.Write([]byte(seed + c.Name))
		c.Seed = h.Sum64()
	}
	if !settings {
		return c, keyError([]string{"settings"}, "missing")
	}
	if err := c.check(); err != nil {
		return c, err
	}
	return c, c.Settings.check("settings")
}

func address(key, variable, value string, env func(string) string) (netip.AddrPort, error) {
	if value == "" {
		value = env(variable)
	}
	if value == "" {
		return netip.AddrPort{}, keyError([]string{key}, "missing, and %s is not set", variable)
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		return a, keyError([]string{key}, "expected an address and port, got %q", value)
	}
	return a, nil
}

// check refuses what a scheduler could not work by.
func (c *Config) check() error {
	switch {
	case c.Limits.Cores <= 0:
		return keyError([]string{"limits", "cores"}, "expected more than 0, got %v", c.Limits.Cores)
	case c.Limits.MemoryMB < 16:
		return keyError([]string{"limits", "memory_mb"}, "expected 16 at least, got %d", c.Limits.MemoryMB)
	case c.Limits.Sockets < fewestSockets:
		return keyError([]string{"limits", "sockets"}, "expected %d at least, got %d", fewestSockets, c.Limits.Sockets)
	}
	return nil
}

// check refuses settings that a scheduler could not work by. under is where they stand.
func (s *Settings) check(under ...string) error {
	key := func(path ...string) []string { return append(slices.Clone(under), path...) }
	switch {
	case len(s.Classes) == 0:
		return keyError(key("classes"), "expected one class at least")
	case s.TryLimit < 1:
		return keyError(key("bounds", "try_limit"), "expected 1 at least, got %d", s.TryLimit)
	case s.ConnectTimeout <= 0:
		return keyError(key("bounds", "connect_timeout"), "expected more than 0, got %v", s.ConnectTimeout)
	}
	for i, class := range s.Classes {
		at := strconv.Itoa(i)
		if s.Names.Classes[i] == "" {
			return keyError(key("classes", at, "name"), "missing")
		}
		if class.GiveUp <= 0 {
			return keyError(key("classes", at, "give_up"), "expected more than 0, got %v", class.GiveUp)
		}
	}
	for i, name := range s.Names.Tenants {
		if name == "" {
			return keyError(key("tenants", strconv.Itoa(i), "name"), "missing")
		}
	}
	return nil
}

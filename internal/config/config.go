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

	"valvecove/internal/requests"
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
	// Management is where operators' calls are answered; not valid: nowhere.
	Management netip.AddrPort
	// StateDir holds what outlives this process, for the one that replaces it: $TMPDIR, if there are operators' calls.
	StateDir         string
	Seed             uint64
	Limits           Limits
	KnownEndpoints   requests.EndpointList // as it was last seen, perhaps long ago
	Settings         Settings
	PlatformSettings []byte // the settings as the platform's text has them
}

// Limits where the configuration names none: those of the smallest machine that the platform has.
var defaultLimits = Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}

// fewestSockets leaves room for the scheduler's own descriptors, some server links and some client links.
const fewestSockets = 64

// Load reads the file that PROXY_CONFIG names; PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY and
// PROXY_MANAGEMENT stand in for keys that it lacks.
func Load(env func(string) string) (Config, error) {
	c, faults := Read(env)
	if len(faults) > 0 {
		return Config{}, faults[0]
	}
	return c, nil
}

// Read is Load with all that is wrong, in the order in which it was found, in place of the first of it.
func Read(env func(string) string) (Config, []error) {
	path := env("PROXY_CONFIG")
	if path == "" {
		return Config{}, []error{errors.New("PROXY_CONFIG: not set; it names the configuration file")}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, []error{fmt.Errorf("PROXY_CONFIG: %w", err)}
	}
	c, all := decode(text, env)
	return c, all.in(path)
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
	stays("management", next.Management != c.Management)
	stays("limits.cores", next.Limits.Cores != c.Limits.Cores)
	stays("settings", !reflect.DeepEqual(next.Settings, c.Settings))
	next.Limits.Cores = c.Limits.Cores
	next.Name, next.Listen, next.Settings, next.Seed, next.KnownEndpoints = c.Name, c.Listen, c.Settings, c.Seed, c.KnownEndpoints
	next.Management, next.StateDir = c.Management, c.StateDir
	return next, kept, nil
}

// Decode reads a configuration from its text.
func Decode(text []byte, env func(string) string) (Config, error) {
	c, all := decode(text, env)
	return c, all.first()
}

func decode(text []byte, env func(string) string) (Config, faults) {
	c := Config{Limits: defaultLimits}
	d := decoder{walker: walker{it: jsoniter.ParseBytes(jsoniter.ConfigDefault, text)}}
	listen, discovery, management, seed, settings := "", "", "", "", false
	d.object(func(key string) {
		switch key {
		case "name":
			c.Name = d.text()
		case "listen":
			listen = d.text()
		case "discovery":
			discovery = d.text()
		case "management":
			management = d.text()
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
				d.it.ReadVal(&c.KnownEndpoints)
			}
		case "settings":
			settings = true
			d.settings()
		default:
			d.skip()
		}
	})
	d.end()
	if d.broken {
		return c, d.faults // what is missing may stand in the part that can't be read
	}
	c.Settings, c.PlatformSettings = d.set, []byte(jsoniter.Get(text, "settings").ToString())
	var err error
	if c.Name == "" {
		c.Name = env("PROXY_NAME")
	}
	c.Listen = address("listen", "PROXY_LISTEN", listen, env, d.faults.add)
	c.Discovery = address("discovery", "PROXY_DISCOVERY", discovery, env, d.faults.add)
	if management != "" || env("PROXY_MANAGEMENT") != "" {
		c.Management = address("management", "PROXY_MANAGEMENT", management, env, d.faults.add)
		c.StateDir = env("TMPDIR")
	}
	if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
		h := fnv.New64a() // any text will do for a seed
		h.Write([]byte(seed + c.Name))
		c.Seed = h.Sum64()
	}
	if !settings {
		d.faults.add(keyError([]string{"settings"}, "missing"))
	}
	c.check(d.faults.add)
	c.Settings.check(d.faults.add, "settings")
	return c, d.faults
}

func address(key, variable, value string, env func(string) string, fault func(*KeyError)) netip.AddrPort {
	if value == "" {
		value = env(variable)
	}
	if value == "" {
		fault(keyError([]string{key}, "missing, and %s is not set", variable))
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		fault(keyError([]string{key}, "expected an address and port, got %q", value))
	}
	return a
}

// check refuses what a scheduler could not work by.
func (c *Config) check(fault func(*KeyError)) {
	if c.Limits.Cores <= 0 {
		fault(keyError([]string{"limits", "cores"}, "expected more than 0, got %v", c.Limits.Cores))
	}
	if c.Limits.MemoryMB < 16 {
		fault(keyError([]string{"limits", "memory_mb"}, "expected 16 at least, got %d", c.Limits.MemoryMB))
	}
	if c.Limits.Sockets < fewestSockets {
		fault(keyError([]string{"limits", "sockets"}, "expected %d at least, got %d", fewestSockets, c.Limits.Sockets))
	}
}

// check refuses settings that a scheduler could not work by. under is where they stand.
func (s *Settings) check(fault func(*KeyError), under ...string) {
	key := func(path ...string) []string { return append(slices.Clone(under), path...) }
	if len(s.Classes) == 0 {
		fault(keyError(key("classes"), "expected one class at least"))
	}
	if s.AttemptLimit < 1 {
		fault(keyError(key("bounds", "try_limit"), "expected 1 at least, got %d", s.AttemptLimit))
	}
	if s.ConnectTimeout <= 0 {
		fault(keyError(key("bounds", "connect_timeout"), "expected more than 0, got %v", s.ConnectTimeout))
	}
	for i, class := range s.Classes {
		at := strconv.Itoa(i)
		if s.Names.Classes[i] == "" {
			fault(keyError(key("classes", at, "name"), "missing"))
		}
		if class.ClientTimeout <= 0 {
			fault(keyError(key("classes", at, "give_up"), "expected more than 0, got %v", class.ClientTimeout))
		}
	}
	for i, name := range s.Names.Tenants {
		if name == "" {
			fault(keyError(key("tenants", strconv.Itoa(i), "name"), "missing"))
		}
	}
}

package config

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	jsoniter "github.com/json-iterator/go"

	"valvecove/internal/aperture"
)

// Ops is the operators' own file: how the log is written, and the features that are on. One whose section is absent
// is nil, and off.
type Ops struct {
	Log       Log
	Status    *Status
	Capture   *Capture
	Metrics   *Metrics
	Addresses *Addresses
	Aperture  *aperture.Config
	Replay    *Replay
}

// Log says how the log is written. Its zero value is what holds without the section: text, and no lines for debugging.
type Log struct {
	JSON  bool
	Level slog.Level // lines below it are not written
}

// Status is the status call on a side port.
type Status struct {
	Port       uint16
	Retention  time.Duration // an ended job is kept for so long
	MaxEntries int
}

// Capture is the record of what comes in and what is decided.
type Capture struct {
	MemoryKB int    // of the ring
	Dir      string // for files in place of the ring; none: the ring
	FileMB   int
	Files    int
}

// Metrics are counters, gauges and timers for a collector.
type Metrics struct {
	Format        string
	FlushInterval time.Duration
	UDPTarget     netip.AddrPort // by UDP; not valid: nowhere
	File          string         // none: nowhere; without both, standard error
	MaxBatchBytes int            // bytes
}

// Addresses say who may connect, and who may speak for another.
type Addresses struct {
	Allow          []netip.Prefix // empty: everyone
	Deny           []netip.Prefix // even if allowed
	TrustedProxies []netip.Prefix // may send a PROXY header
}

// Replay is for a replay of a capture only.
type Replay struct {
	settings map[string]any // in place of recorded ones, by their names
}

// LoadOps reads the operators' file; without a name all features are off.
func LoadOps(path string) (Ops, error) {
	o, all, err := readOps(path)
	if faults := all.in(path); err == nil && len(faults) > 0 {
		err = faults[0]
	}
	if err != nil {
		return Ops{}, err
	}
	return o, nil
}

// LoadAll reads both files, and checks them together if the platform's is sound. It gives all that is wrong with
// either, in the order in which it was found; what was read is whole only if nothing is.
func LoadAll(env func(string) string, ops string) (Config, Ops, []error) {
	c, faults := Read(env)
	o, all, err := readOps(ops)
	if err != nil {
		return c, o, append(faults, err)
	}
	if len(faults) == 0 {
		for _, f := range o.check(c) {
			all.add(f)
		}
	}
	return c, o, append(faults, all.in(ops)...)
}

// readOps tells faults in the file apart from a file that can't be read.
func readOps(path string) (Ops, faults, error) {
	if path == "" {
		return Ops{}, nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Ops{}, nil, fmt.Errorf("--config: %w", err)
	}
	o, all := decodeOps(string(text))
	return o, all, nil
}

// DecodeOps reads the operators' file from its text.
func DecodeOps(text string) (Ops, error) {
	o, all := decodeOps(text)
	return o, all.first()
}

func decodeOps(text string) (Ops, faults) {
	var tree map[string]any
	if _, err := toml.Decode(text, &tree); err != nil {
		return Ops{}, faults{{What: fmt.Sprintf("not TOML: %v", err)}}
	}
	var o Ops
	var all faults
	top := &table{keys: tree, faults: &all}
	if t := top.table("log"); t != nil {
		o.Log.JSON = t.choice("format", "text", "text", "json") == "json"
		o.Log.Level = levels[t.choice("level", "info", "debug", "info", "warn", "error")]
		t.end()
	}
	if t := top.table("status"); t != nil {
		o.Status = &Status{
			Port:       uint16(t.must("listen_port").whole("listen_port", 0, 1, 65535)),
			Retention:  time.Duration(t.number("retain_s", 600, 0, 1e7) * float64(time.Second)),
			MaxEntries: t.whole("max_entries", 20_000, 1, 1_000_000),
		}
		t.end()
	}
	if t := top.table("capture"); t != nil {
		o.Capture = &Capture{
			MemoryKB: t.whole("memory_kb", 512, 64, 1<<20), Dir: t.text("dir"),
			FileMB: t.whole("file_mb", 8, 1, 1<<10), Files: t.whole("files", 4, 1, 1000),
		}
		t.end()
	}
	if t := top.table("figures"); t != nil {
		o.Metrics = &Metrics{
			Format:        t.choice("format", "statsd", "statsd", "influx"),
			FlushInterval: time.Duration(t.whole("flush_ms", 10_000, 10, 3_600_000)) * time.Millisecond,
			UDPTarget:     t.target("udp_target"), File: t.text("file"), MaxBatchBytes: t.whole("max_batch_bytes", 1400, 1, 65_000),
		}
		t.end()
	}
	if t := top.table("addresses"); t != nil {
		o.Addresses = &Addresses{Allow: t.ranges("allow"), Deny: t.ranges("deny"), TrustedProxies: t.ranges("trusted_fronts")}
		t.end()
	}
	if t := top.table("aperture"); t != nil {
		d := aperture.DefaultConfig()
		o.Aperture = &aperture.Config{
			MinWorkers: t.whole("least", d.MinWorkers, 1, 1_000_000),
			Coverage:   t.whole("cover", d.Coverage, 2, 1000), MinFleet: t.whole("off_below", d.MinFleet, 0, 1_000_000),
			MinSchedulers: t.whole("from_schedulers", d.MinSchedulers, 2, 1_000_000),
			MaxWidening:   t.number("most", d.MaxWidening, 1, 1000), WidenThreshold: t.number("widen_at", d.WidenThreshold, 0.01, 1),
			Retention: time.Duration(t.number("dwell_s", d.Retention.Seconds(), 1, 3600) * float64(time.Second)),
		}
		t.end()
	}
	if t := top.table("replay"); t != nil {
		o.Replay = &Replay{}
		if set := t.table("settings"); set != nil {
			o.Replay.settings = set.keys
		}
		t.end()
	}
	top.end()
	return o, all
}

var levels = map[string]slog.Level{
	"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn,
	"error": slog.LevelError,
}

// Check refuses what does not go together with the platform's configuration.
func (o Ops) Check(c Config) error { return o.check(c).first() }

func (o Ops) check(c Config) (all faults) {
	if o.Status != nil && o.Status.Port == c.Listen.Port() {
		all.add(keyError([]string{"status", "listen_port"}, "%d is the port of PROXY_LISTEN", o.Status.Port))
	}
	// The ring may be there twice, while a copy of it is written out.
	if most := c.Limits.MemoryMB << 10 / 8; o.Capture != nil && o.Capture.Dir == "" && o.Capture.MemoryKB > most {
		all.add(keyError([]string{"capture", "memory_kb"}, "expected %d at most where limits.memory_mb is %d, got %d", most,
			c.Limits.MemoryMB, o.Capture.MemoryKB))
	}
	return all
}

// Override gives the platform's settings in a recorded text, with those of [replay.settings] in place of its own.
func (o Ops) Override(recorded []byte) (Settings, error) {
	at := []string{"replay", "settings"}
	if o.Replay != nil && len(o.Replay.settings) > 0 {
		var tree any
		if err := exact.Unmarshal(recorded, &tree); err != nil {
			return Settings{}, fmt.Errorf("recorded settings: %w", err)
		}
		tree, err := override(at, tree, o.Replay.settings)
		if err != nil {
			return Settings{}, err
		}
		if recorded, err = exact.Marshal(tree); err != nil {
			return Settings{}, keyError(at, "%v", err)
		}
	}
	s, err := decodeSettings(recorded, at...)
	if err != nil {
		return Settings{}, err
	}
	var all faults
	s.check(all.add, at...)
	return s, all.first()
}

// exact keeps numbers as they are written.
var exact = jsoniter.Config{UseNumber: true}.Froze()

// override puts values in place of those with the same names. In a list, a table's keys are the elements' names.
func override(at []string, recorded, by any) (any, error) {
	table, ok := by.(map[string]any)
	if !ok {
		return by, nil
	}
	for _, key := range slices.Sorted(maps.Keys(table)) {
		at := append(slices.Clone(at), key)
		var found bool
		var err error
		switch old := recorded.(type) {
		case map[string]any:
			if _, found = old[key]; found {
				old[key], err = override(at, old[key], table[key])
			}
		case []any:
			for i, element := range old {
				if fields, ok := element.(map[string]any); ok && fields["name"] == key {
					found = true
					old[i], err = override(at, element, table[key])
				}
			}
		}
		if err == nil && !found {
			err = keyError(at, "not among the recorded settings")
		}
		if err != nil {
			return nil, err
		}
	}
	return recorded, nil
}

// StatusAddr is where the status call listens: on the host of PROXY_LISTEN.
func (o Ops) StatusAddr(c Config) netip.AddrPort {
	return netip.AddrPortFrom(c.Listen.Addr(), o.Status.Port)
}

// table is one table of the file. What has been read is taken out, so that what is left at the end is not known.
type table struct {
	path   []string
	keys   map[string]any
	faults *faults // shared with the tables within
}

func (t *table) fail(key, format string, args ...any) {
	t.faults.add(keyError(append(slices.Clone(t.path), strings.Split(key, ".")...), format, args...))
}

func (t *table) take(key string) (value any, ok bool) {
	value, ok = t.keys[key]
	delete(t.keys, key)
	return value, ok
}

// table gives a table within, or nil if there is none.
func (t *table) table(key string) *table {
	value, ok := t.take(key)
	if !ok {
		return nil
	}
	keys, ok := value.(map[string]any)
	if !ok {
		t.fail(key, "expected a table")
		return nil
	}
	return &table{path: append(slices.Clone(t.path), key), keys: keys, faults: t.faults}
}

// must is the table itself; without the key it has a fault.
func (t *table) must(key string) *table {
	if _, ok := t.keys[key]; !ok {
		t.fail(key, "missing")
	}
	return t
}

func (t *table) whole(key string, without, least, most int) int {
	value, ok := t.take(key)
	if !ok {
		return without
	}
	n, ok := value.(int64)
	switch {
	case !ok:
		t.fail(key, "expected a whole number")
	case n < int64(least) || n > int64(most):
		t.fail(key, "expected %d to %d, got %d", least, most, n)
	}
	return int(n)
}

// text reads text; without the key there is none, but given it is not empty.
func (t *table) text(key string) string {
	value, ok := t.take(key)
	if !ok {
		return ""
	}
	text, ok := value.(string)
	if !ok || text == "" {
		t.fail(key, "expected text")
	}
	return text
}

// choice reads one of some words; without the key it is without.
func (t *table) choice(key, without string, words ...string) string {
	text := t.text(key)
	if text == "" {
		return without
	}
	if !slices.Contains(words, text) {
		t.fail(key, `expected "%s", got %q`, strings.Join(words, `" or "`), text)
	}
	return text
}

// ranges reads a list of CIDR ranges. IPv4 written as IPv6 is taken as IPv4, as the addresses of links are.
func (t *table) ranges(key string) (list []netip.Prefix) {
	value, ok := t.take(key)
	if !ok {
		return nil
	}
	texts, ok := value.([]any)
	if !ok {
		t.fail(key, "expected a list")
	}
	for i, x := range texts {
		text, _ := x.(string)
		p, err := netip.ParsePrefix(text)
		if err == nil && p.Addr().Is4In6() {
			if p = netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-96); !p.IsValid() {
				err = errors.New("too wide")
			}
		}
		if err != nil {
			t.fail(key+"."+strconv.Itoa(i), `expected a range such as "10.20.0.0/16" or "fd00:5a::/48", got %#v`, x)
		}
		list = append(list, p.Masked())
	}
	return list
}

// target reads an address and port to send to; names are not looked up.
func (t *table) target(key string) netip.AddrPort {
	text := t.text(key)
	if text == "" {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		t.fail(key, "expected an address and port, got %q", text)
	}
	return a
}

// number reads a number with or without a fraction.
func (t *table) number(key string, without, least, most float64) float64 {
	value, ok := t.take(key)
	if !ok {
		return without
	}
	x, ok := value.(float64)
	if n, whole := value.(int64); whole {
		x, ok = float64(n), true
	}
	switch {
	case !ok:
		t.fail(key, "expected a number")
	case !(x >= least && x <= most):
		t.fail(key, "expected %v to %v, got %v", least, most, x)
	}
	return x
}

// end refuses what has not been read.
func (t *table) end() {
	for _, key := range slices.Sorted(maps.Keys(t.keys)) {
		t.fail(key, "not known")
	}
}

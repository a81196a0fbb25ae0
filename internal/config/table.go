package config

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// table is one table of the operators' file. Reading a value removes it, so that the keys that remain at the end are unknown
// ones. An error is added for each value that is out of bounds or has the wrong type; the value returned for it is undefined.
type table struct {
	path   []string       // in the file
	keys   map[string]any // that were not read yet
	errors *keyErrors     // of the file
}

// report adds an error about a key, or about an element of it if indices are given.
func (t *table) report(key string, err error, indices ...int) {
	path := slices.Concat(t.path, strings.Split(key, "."))
	for _, index := range indices {
		path = append(path, strconv.Itoa(index))
	}
	t.errors.add(newKeyError(path, err))
}

// reportValue adds an error about the value of a key.
func (t *table) reportValue(key, expected string, value any) {
	t.report(key, &ValueError{Expected: expected, Value: value})
}

// reportType adds an error about the type of a key's value.
func (t *table) reportType(key, expected string) { t.report(key, &ValueError{Expected: expected}) }

// take removes and returns the value of a key.
func (t *table) take(key string) (value any, ok bool) {
	value, ok = t.keys[key]
	delete(t.keys, key)
	return value, ok
}

// rejectUnread adds an error for each key that was not read.
func (t *table) rejectUnread() {
	for _, key := range slices.Sorted(maps.Keys(t.keys)) {
		t.report(key, ErrUnknownKey)
	}
}

// require adds an error if a key is absent.
func (t *table) require(key string) {
	if _, ok := t.keys[key]; !ok {
		t.report(key, &MissingError{})
	}
}

// table returns the table of a key, or nil if there is none.
func (t *table) table(key string) *table {
	value, ok := t.take(key)
	if !ok {
		return nil
	}
	keys, ok := value.(map[string]any)
	if !ok {
		t.reportType(key, "a table")
		return nil
	}
	return &table{path: append(slices.Clone(t.path), key), keys: keys, errors: t.errors}
}

// integer reads a whole number within bounds. It returns fallback if the key is absent.
func (t *table) integer(key string, fallback, minimum, maximum int) int {
	value, ok := t.take(key)
	if !ok {
		return fallback
	}
	number, ok := value.(int64)
	switch {
	case !ok:
		t.reportType(key, "a whole number")
	case number < int64(minimum) || number > int64(maximum):
		t.reportValue(key, fmt.Sprintf("%d to %d", minimum, maximum), number)
	}
	return int(number)
}

// number reads a number within bounds. It returns fallback if the key is absent.
func (t *table) number(key string, fallback, minimum, maximum float64) float64 {
	value, ok := t.take(key)
	if !ok {
		return fallback
	}
	number, ok := toFloat(value)
	inBounds := number >= minimum && number <= maximum // false for NaN
	switch {
	case !ok:
		t.reportType(key, "a number")
	case !inBounds:
		t.reportValue(key, fmt.Sprintf("%v to %v", minimum, maximum), number)
	}
	return number
}

// toFloat converts a TOML integer or float.
func toFloat(value any) (number float64, ok bool) {
	switch value := value.(type) {
	case int64:
		return float64(value), true
	case float64:
		return value, true
	}
	return 0, false
}

// seconds reads a number of seconds within bounds. It returns fallback if the key is absent.
func (t *table) seconds(key string, fallback, minimum, maximum time.Duration) time.Duration {
	seconds := t.number(key, fallback.Seconds(), minimum.Seconds(), maximum.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// text reads a text, which must not be empty. It returns an empty one if the key is absent.
func (t *table) text(key string) string {
	value, ok := t.take(key)
	if !ok {
		return ""
	}
	text, ok := value.(string)
	if !ok || text == "" {
		t.reportType(key, "text")
	}
	return text
}

// choice reads one of several texts. It returns fallback if the key is absent.
func (t *table) choice(key, fallback string, choices ...string) string {
	text := t.text(key)
	if text == "" {
		return fallback
	}
	if !slices.Contains(choices, text) {
		t.reportValue(key, `"`+strings.Join(choices, `" or "`)+`"`, text)
	}
	return text
}

// addrPort reads an IP address and a port other than 0. The result is not valid if the key is absent.
func (t *table) addrPort(key string) netip.AddrPort {
	text := t.text(key)
	if text == "" {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		t.reportValue(key, "an address and port", text)
	}
	return address
}

// prefixes reads a list of CIDR ranges. It returns nil if the key is absent.
func (t *table) prefixes(key string) []netip.Prefix {
	value, ok := t.take(key)
	if !ok {
		return nil
	}
	elements, ok := value.([]any)
	if !ok {
		t.reportType(key, "a list")
	}
	var list []netip.Prefix
	for i, element := range elements {
		text, _ := element.(string)
		prefix, err := parsePrefix(text)
		if err != nil {
			t.report(key, &ValueError{Expected: `a range such as "10.20.0.0/16" or "fd00:5a::/48"`, Value: element}, i)
		}
		list = append(list, prefix)
	}
	return list
}

// mappedBits is the length of the prefix of IPv4-mapped IPv6 addresses.
const mappedBits = 96

// errPrefixTooWide is returned for a range of mapped IPv4 addresses that includes other addresses.
var errPrefixTooWide = errors.New("range of mapped IPv4 addresses is wider than IPv4")

// parsePrefix parses a CIDR range. A range of IPv4-mapped IPv6 addresses is converted to IPv4, like the addresses of connections.
func parsePrefix(text string) (netip.Prefix, error) {
	prefix, err := netip.ParsePrefix(text)
	if err != nil {
		return netip.Prefix{}, err
	}
	if prefix.Addr().Is4In6() {
		prefix = netip.PrefixFrom(prefix.Addr().Unmap(), prefix.Bits()-mappedBits)
		if !prefix.IsValid() {
			return netip.Prefix{}, errPrefixTooWide
		}
	}
	return prefix.Masked(), nil
}

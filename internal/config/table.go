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

// table is one table of the operators' file. Reading a value removes it, so that what remains at the end is not known.
// Each value that is out of its bounds or of the wrong kind is reported, and what is returned for it means nothing.
type table struct {
	path   []string
	keys   map[string]any
	errors *keyErrors // shared with the tables within
}

// report adds an error about a key, or about an element of it if indices are given.
func (t *table) report(key string, err error, indices ...int) {
	path := slices.Concat(t.path, strings.Split(key, "."))
	for _, index := range indices {
		path = append(path, strconv.Itoa(index))
	}
	t.errors.add(newKeyError(path, err))
}

func (t *table) reportValue(key, expected string, value any) {
	t.report(key, &ValueError{Expected: expected, Value: value})
}

func (t *table) reportKind(key, expected string) { t.report(key, &ValueError{Expected: expected}) }

func (t *table) take(key string) (value any, ok bool) {
	value, ok = t.keys[key]
	delete(t.keys, key)
	return value, ok
}

// rejectUnread reports each key that has not been read.
func (t *table) rejectUnread() {
	for _, key := range slices.Sorted(maps.Keys(t.keys)) {
		t.report(key, ErrUnknownKey)
	}
}

// require reports a key that is absent.
func (t *table) require(key string) {
	if _, ok := t.keys[key]; !ok {
		t.report(key, &MissingError{})
	}
}

// table returns a table within; nil if there is none.
func (t *table) table(key string) *table {
	value, ok := t.take(key)
	if !ok {
		return nil
	}
	keys, ok := value.(map[string]any)
	if !ok {
		t.reportKind(key, "a table")
		return nil
	}
	return &table{path: append(slices.Clone(t.path), key), keys: keys, errors: t.errors}
}

// integer reads a whole number within bounds; fallback is returned for an absent key.
func (t *table) integer(key string, fallback, minimum, maximum int) int {
	value, ok := t.take(key)
	if !ok {
		return fallback
	}
	number, ok := value.(int64)
	switch {
	case !ok:
		t.reportKind(key, "a whole number")
	case number < int64(minimum) || number > int64(maximum):
		t.reportValue(key, fmt.Sprintf("%d to %d", minimum, maximum), number)
	}
	return int(number)
}

// number reads a number, with or without a fraction, within bounds; fallback is returned for an absent key.
func (t *table) number(key string, fallback, minimum, maximum float64) float64 {
	value, ok := t.take(key)
	if !ok {
		return fallback
	}
	number, ok := toFloat(value)
	inBounds := number >= minimum && number <= maximum // false for NaN
	switch {
	case !ok:
		t.reportKind(key, "a number")
	case !inBounds:
		t.reportValue(key, fmt.Sprintf("%v to %v", minimum, maximum), number)
	}
	return number
}

func toFloat(value any) (number float64, ok bool) {
	switch value := value.(type) {
	case int64:
		return float64(value), true
	case float64:
		return value, true
	}
	return 0, false
}

// seconds reads a number of seconds within bounds; fallback is returned for an absent key.
func (t *table) seconds(key string, fallback, minimum, maximum time.Duration) time.Duration {
	seconds := t.number(key, fallback.Seconds(), minimum.Seconds(), maximum.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// text reads a text, which must not be empty; an empty one is returned for an absent key.
func (t *table) text(key string) string {
	value, ok := t.take(key)
	if !ok {
		return ""
	}
	text, ok := value.(string)
	if !ok || text == "" {
		t.reportKind(key, "text")
	}
	return text
}

// choice reads one of several texts; fallback is returned for an absent key.
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

// addrPort reads an address and port to send to; names are not resolved. It is not valid for an absent key.
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

// prefixes reads a list of CIDR ranges; nil is returned for an absent key.
func (t *table) prefixes(key string) []netip.Prefix {
	value, ok := t.take(key)
	if !ok {
		return nil
	}
	elements, ok := value.([]any)
	if !ok {
		t.reportKind(key, "a list")
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

// mappedBits is how many bits IPv4 addresses have before them when written as IPv6.
const mappedBits = 96

var errPrefixTooWide = errors.New("range of mapped IPv4 addresses is wider than IPv4")

// parsePrefix reads a CIDR range. IPv4 written as IPv6 is taken as IPv4, as the addresses of connections are.
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

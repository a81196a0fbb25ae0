package config

import (
	"encoding/json"
	"errors"
	"net/netip"
	"reflect"
	"testing"
	"time"
)

// Callers get the key and the cause of an error from its fields, without parsing its message.
func TestKeyErrorParts(t *testing.T) {
	platform := func(text string) error {
		_, err := Decode([]byte(text), noEnvironment)
		return err
	}
	ops := func(text string) error {
		_, err := DecodeOps(text)
		return err
	}
	samePort := Ops{Status: &Status{Port: 9000}}.Check(Config{Listen: netip.MustParseAddrPort("127.0.0.1:9000")})
	for _, test := range []struct {
		name string
		err  error
		key  string
		want error
	}{
		{"type of value", platform(`{"settings":[]}`), "settings", &ValueError{Expected: "an object"}},
		{"value out of bounds", ops("[capture]\nfiles = 0"), "capture.files", &ValueError{Expected: "1 to 1000", Value: int64(0)}},
		{"element", ops("[addresses]\nallow = ['x']"), "addresses.allow[0]", &ValueError{
			Expected: `a range such as "10.20.0.0/16" or "fd00:5a::/48"`, Value: "x",
		}},
		{"missing", ops("[status]"), "status.listen_port", &MissingError{}},
		{"missing, with variable", platform(`{}`), "listen", &MissingError{Variable: "PROXY_LISTEN"}},
		{"unknown", ops("[log]\nfile = 'x'"), "log.file", ErrUnknownKey},
		{"port conflict", samePort, "status.listen_port", &PortConflictError{Port: 9000}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var keyError *KeyError
			if !errors.As(test.err, &keyError) {
				t.Fatalf("%v is not a *KeyError", test.err)
			}
			if keyError.Key != test.key || !reflect.DeepEqual(keyError.Err, test.want) {
				t.Errorf("key %q: %#v, expected %q: %#v", keyError.Key, keyError.Err, test.key, test.want)
			}
		})
	}
}

func TestSyntaxErrorNamesFormat(t *testing.T) {
	_, jsonError := Decode([]byte(`{`), noEnvironment)
	_, tomlError := DecodeOps(`[status`)
	for format, err := range map[string]error{"JSON": jsonError, "TOML": tomlError} {
		var syntaxError *SyntaxError
		if !errors.As(err, &syntaxError) || syntaxError.Format != format || syntaxError.Err == nil {
			t.Errorf("expected a *SyntaxError of %s, got %v", format, err)
		}
	}
}

func TestOverrideOfUnrecordedKey(t *testing.T) {
	_, err := decodeValidOps(t, "[replay.settings]\nnew = 1").Override(json.RawMessage(`{}`))
	if !errors.Is(err, ErrNotRecorded) {
		t.Errorf("%v, expected %v", err, ErrNotRecorded)
	}
}

// If recorded settings have several errors, Override returns the first one by the order of keys, so that the error does not
// depend on the order of a map.
func TestOverrideReportsSameError(t *testing.T) {
	ops := decodeValidOps(t, "[replay.settings]\nzone = 1")
	for range 50 {
		_, err := ops.Override(json.RawMessage(`{"zone":0,"prices":1,"zones":1,"bounds":{"probes":1,"cancelling":1},"rules":1}`))
		var keyError *KeyError
		if !errors.As(err, &keyError) || keyError.Key != "replay.settings.bounds.cancelling" {
			t.Fatalf("%v, expected an error of replay.settings.bounds.cancelling", err)
		}
	}
}

func TestValueErrorMessage(t *testing.T) {
	for want, value := range map[string]any{
		"expected x":            nil,
		`expected x, got "a\""`: `a"`,
		"expected x, got 1e+06": 1e6,
		"expected x, got 1.5s":  1500 * time.Millisecond,
		"expected x, got -3":    -3,
		"expected x, got true":  true,
	} {
		err := &ValueError{Expected: "x", Value: value}
		if err.Error() != want {
			t.Errorf("%v, expected %s", err, want)
		}
	}
}

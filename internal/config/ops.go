package config

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/BurntSushi/toml"

	"valvecove/internal/aperture"
)

// Ops is the operators' file: how the log is written, and the features that are on. A feature whose section is absent is
// nil, and off.
type Ops struct {
	Log       Log
	Status    *Status
	Capture   *Capture
	Metrics   *Metrics
	Addresses *Addresses
	Aperture  *aperture.Config
	Gossip    *Gossip
	Replay    *Replay
}

// LoadOps reads the operators' file. With an empty path all features are off.
func LoadOps(path string) (Ops, error) {
	ops, errs, err := loadOps(path)
	if err != nil {
		return Ops{}, err
	}
	if located := errs.in(path); len(located) > 0 {
		return Ops{}, located[0]
	}
	return ops, nil
}

// loadOps returns errors in the file apart from err, which reports a file that can't be read.
func loadOps(path string) (Ops, keyErrors, error) {
	if path == "" {
		return Ops{}, nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Ops{}, nil, fmt.Errorf("--config: %w", err)
	}
	ops, errs := decodeOps(string(text))
	return ops, errs, nil
}

// DecodeOps reads the operators' file from its text. The error is the first *KeyError.
func DecodeOps(text string) (Ops, error) {
	ops, errs := decodeOps(text)
	return ops, errs.first()
}

func decodeOps(text string) (Ops, keyErrors) {
	var keys map[string]any
	if _, err := toml.Decode(text, &keys); err != nil {
		return Ops{}, keyErrors{{Err: &SyntaxError{Format: "TOML", Err: err}}}
	}
	var ops Ops
	var errs keyErrors
	file := &table{keys: keys, errors: &errs}
	if log := decodeSection(file, "log", decodeLog); log != nil {
		ops.Log = *log
	}
	ops.Status = decodeSection(file, "status", decodeStatus)
	ops.Capture = decodeSection(file, "capture", decodeCapture)
	ops.Metrics = decodeSection(file, "figures", decodeMetrics)
	ops.Addresses = decodeSection(file, "addresses", decodeAddresses)
	ops.Aperture = decodeSection(file, "aperture", decodeAperture)
	ops.Gossip = decodeSection(file, "gossip", decodeGossip)
	ops.Replay = decodeSection(file, "replay", decodeReplay)
	file.rejectUnread()
	return ops, errs
}

// decodeSection decodes the table of a key; nil if there is none.
func decodeSection[T any](file *table, key string, decode func(*table) T) *T {
	section := file.table(key)
	if section == nil {
		return nil
	}
	value := decode(section)
	section.rejectUnread()
	return &value
}

// Check returns the first *KeyError about what does not go together with the platform's configuration.
func (o Ops) Check(config Config) error {
	var errs keyErrors
	o.checkAgainst(config, &errs)
	return errs.first()
}

func (o Ops) checkAgainst(config Config, errs *keyErrors) {
	if o.Status != nil && o.Status.Port == config.Listen.Port() {
		errs.add(newKeyError([]string{"status", "listen_port"}, &PortConflictError{o.Status.Port}))
	}
	if o.Capture != nil {
		o.Capture.checkMemory(config.Limits, errs)
	}
}

// StatusAddr is where the status call listens: on the address of PROXY_LISTEN. Status must not be nil.
func (o Ops) StatusAddr(config Config) netip.AddrPort {
	return netip.AddrPortFrom(config.Listen.Addr(), o.Status.Port)
}

// Override decodes recorded settings of the platform, with those of [replay.settings] in place of their own. Errors are
// *KeyError with the key under replay.settings, except for recorded settings that do not parse. What ApplyTo has decided
// about them is recorded by itself.
func (o Ops) Override(recorded []byte) (Settings, error) {
	path := []string{"replay", "settings"}
	if o.Replay != nil && len(o.Replay.settings) > 0 {
		var err error
		if recorded, err = o.Replay.override(recorded, path); err != nil {
			return Settings{}, err
		}
	}
	settings, err := decodeSettings(recorded, path...)
	if err != nil {
		return Settings{}, err
	}
	var errs keyErrors
	settings.check(&errs, path...)
	return settings, errs.first()
}

package config

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/BurntSushi/toml"

	"valvecove/internal/aperture"
)

// Ops is the configuration in the operators' file: the settings of the log, and the enabled features. A feature whose section is
// absent is nil, and disabled.
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

// LoadOps reads the operators' file. With an empty path all features are disabled.
func LoadOps(path string) (Ops, error) {
	ops, errs, err := loadOps(path)
	if err != nil {
		return Ops{}, err
	}
	if located := errs.withPath(path); len(located) > 0 {
		return Ops{}, located[0]
	}
	return ops, nil
}

// loadOps is LoadOps with all errors in the file. err is the error of reading the file.
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

// DecodeOps decodes the text of an operators' file. The error is the first *KeyError.
func DecodeOps(text string) (Ops, error) {
	ops, errs := decodeOps(text)
	return ops, errs.first()
}

// decodeOps is DecodeOps with all errors.
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

// decodeSection decodes the section with a key, and returns nil if there is none.
func decodeSection[T any](file *table, key string, decode func(*table) T) *T {
	section := file.table(key)
	if section == nil {
		return nil
	}
	value := decode(section)
	section.rejectUnread()
	return &value
}

// Check returns the first *KeyError about a conflict with the platform's configuration.
func (o Ops) Check(config Config) error {
	var errs keyErrors
	o.checkAgainst(config, &errs)
	return errs.first()
}

// checkAgainst adds an error for each conflict with the platform's configuration.
func (o Ops) checkAgainst(config Config, errs *keyErrors) {
	if o.Status != nil && o.Status.Port == config.Listen.Port() {
		errs.add(newKeyError([]string{"status", "listen_port"}, &PortConflictError{o.Status.Port}))
	}
	if o.Capture != nil {
		o.Capture.checkMemory(config.Limits, errs)
	}
}

// StatusAddr returns the address of the status call, whose IP address is that of PROXY_LISTEN. Status must not be nil.
func (o Ops) StatusAddr(config Config) netip.AddrPort {
	return netip.AddrPortFrom(config.Listen.Addr(), o.Status.Port)
}

// Override replaces values in recorded settings of the platform by those in [replay.settings], and decodes the result. Errors are
// *KeyError with a key under replay.settings, unless the recorded settings can't be parsed. Override does not make the changes of
// ApplyTo; captures record those separately.
func (o Ops) Override(recorded []byte) (Settings, error) {
	path := []string{"replay", "settings"}
	if o.Replay != nil && len(o.Replay.settings) > 0 {
		var err error
		recorded, err = o.Replay.override(recorded, path)
		if err != nil {
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

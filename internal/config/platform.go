package config

import (
	"fmt"
	"hash/fnv"
	"net/netip"
	"strconv"

	jsoniter "github.com/json-iterator/go"
)

// Decode reads the platform's configuration from its text. env gives the environment variables that Load names. The
// error is the first *KeyError.
func Decode(text []byte, env func(string) string) (Config, error) {
	config, errs := decode(text, env)
	return config, errs.first()
}

func decode(text []byte, env func(string) string) (Config, keyErrors) {
	decoder := newPlatformDecoder(text)
	decoder.read()
	if !decoder.broken { // else what is missing may stand in the part that can't be read
		decoder.config.Settings = decoder.settingsDecoder.settings
		decoder.config.PlatformSettings = []byte(jsoniter.Get(text, "settings").ToString())
		decoder.complete(env)
	}
	return decoder.config, decoder.errors
}

// platformDecoder reads the platform's file. Its texts are the values as they stand in the file, before the environment
// is considered.
type platformDecoder struct {
	*jsonReader
	config                              Config
	settingsDecoder                     settingsDecoder
	hasSettings                         bool
	listen, discovery, management, seed string
	peerListen                          string
	peers                               []string
}

func newPlatformDecoder(text []byte) *platformDecoder {
	reader := newJSONReader(text)
	return &platformDecoder{
		jsonReader:      reader,
		config:          Config{Limits: defaultLimits},
		settingsDecoder: settingsDecoder{jsonReader: reader},
	}
}

// read reads the whole text.
func (d *platformDecoder) read() {
	d.object(fields{
		"name":        func() { d.config.Name = d.text() },
		"listen":      func() { d.listen = d.text() },
		"discovery":   func() { d.discovery = d.text() },
		"peer_listen": func() { d.peerListen = d.text() },
		"peers":       func() { d.peers = d.texts() },
		"management":  func() { d.management = d.text() },
		"seed":        func() { d.seed = d.text() },
		"limits":      func() { d.readLimits(&d.config.Limits) },
		"known":       func() { d.value(&d.config.KnownEndpoints) },
		"settings": func() {
			d.hasSettings = true
			d.settingsDecoder.read()
		},
	})
	d.end()
}

// complete takes from the environment what the file lacks, and checks all.
func (d *platformDecoder) complete(env func(string) string) {
	if d.config.Name == "" {
		d.config.Name = env("PROXY_NAME")
	}
	d.config.Listen = d.address("listen", d.listen, "PROXY_LISTEN", env)
	d.config.Discovery = d.address("discovery", d.discovery, "PROXY_DISCOVERY", env)
	if d.management != "" || env("PROXY_MANAGEMENT") != "" {
		d.config.Management = d.address("management", d.management, "PROXY_MANAGEMENT", env)
		d.config.StateDir = env("TMPDIR")
	}
	d.completePeers(env)
	d.config.Seed = parseSeed(d.seed, d.config.Name)
	if !d.hasSettings {
		d.errors.add(newKeyError([]string{"settings"}, &MissingError{}))
	}
	d.config.Limits.check(&d.errors)
	d.config.Settings.check(&d.errors, "settings")
}

// completePeers reads where other schedulers are. Without both keys, or where the settings don't allow it, schedulers tell
// each other nothing.
func (d *platformDecoder) completePeers(env func(string) string) {
	settings := &d.config.Settings
	isComplete := d.peerListen != "" && len(d.peers) > 0
	settings.PeerMessages = settings.PeerMessages && isComplete
	if !settings.PeerMessages {
		return
	}
	if len(d.peers) != settings.Replicas {
		err := &ValueError{Expected: "an address for each of settings.replicas_of_me", Value: len(d.peers)}
		d.errors.add(newKeyError([]string{"peers"}, err))
		return
	}
	if settings.ReplicaIndex < 0 || settings.ReplicaIndex >= settings.Replicas {
		err := &ValueError{Expected: fmt.Sprintf("a number from 0 to %d", settings.Replicas-1), Value: settings.ReplicaIndex}
		d.errors.add(newKeyError([]string{"settings", "me"}, err))
	}
	d.config.PeerListen = d.address("peer_listen", d.peerListen, "", env)
	for i, text := range d.peers {
		address, err := netip.ParseAddrPort(text)
		if err != nil || address.Port() == 0 {
			fault := &ValueError{Expected: "an address and port", Value: text}
			d.errors.add(newKeyError([]string{"peers", strconv.Itoa(i)}, fault))
		}
		d.config.Peers = append(d.config.Peers, netip.AddrPortFrom(address.Addr().Unmap(), address.Port()))
	}
}

// address parses the value of a key, or that of an environment variable if the value is empty.
func (d *platformDecoder) address(key, value, variable string, env func(string) string) netip.AddrPort {
	path := []string{key}
	if value == "" {
		value = env(variable)
	}
	if value == "" {
		d.errors.add(newKeyError(path, &MissingError{Variable: variable}))
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		d.errors.add(newKeyError(path, &ValueError{Expected: "an address and port", Value: value}))
	}
	return address
}

// parseSeed reads a seed in hexadecimal. From any other text, and from none, it derives one that differs by scheduler.
func parseSeed(text, name string) uint64 {
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		hash := fnv.New64a()
		hash.Write([]byte(text + name))
		return hash.Sum64()
	}
	return seed
}

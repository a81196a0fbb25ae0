package config

import (
	"fmt"
	"hash/fnv"
	"net/netip"
	"strconv"

	jsoniter "github.com/json-iterator/go"
)

// Decode decodes the text of a platform's file. env returns the value of an environment variable; see Load. The error is the
// first *KeyError.
func Decode(text []byte, env func(string) string) (Config, error) {
	config, errs := decode(text, env)
	return config, errs.first()
}

// decode is Decode with all errors.
func decode(text []byte, env func(string) string) (Config, keyErrors) {
	decoder := newPlatformDecoder(text)
	decoder.read()
	if !decoder.broken { // otherwise missing keys may be in the part that can't be read
		decoder.config.Settings = decoder.settingsDecoder.settings
		decoder.config.PlatformSettings = []byte(jsoniter.Get(text, "settings").ToString())
		decoder.complete(env)
	}
	return decoder.config, decoder.errors
}

// platformDecoder decodes the platform's file. Its string fields contain the values in the file, before the defaults from the
// environment are applied.
type platformDecoder struct {
	*jsonReader
	config                              Config
	settingsDecoder                     settingsDecoder
	hasSettings                         bool
	listen, discovery, management, seed string
	peerListen                          string
	peers                               []string
}

// newPlatformDecoder returns a decoder of a text.
func newPlatformDecoder(text []byte) *platformDecoder {
	reader := newJSONReader(text)
	return &platformDecoder{
		jsonReader:      reader,
		config:          Config{Limits: defaultLimits},
		settingsDecoder: settingsDecoder{jsonReader: reader},
	}
}

// read reads the complete text.
func (p *platformDecoder) read() {
	p.object(fields{
		"name":        func() { p.config.Name = p.text() },
		"listen":      func() { p.listen = p.text() },
		"discovery":   func() { p.discovery = p.text() },
		"peer_listen": func() { p.peerListen = p.text() },
		"peers":       func() { p.peers = p.texts() },
		"management":  func() { p.management = p.text() },
		"seed":        func() { p.seed = p.text() },
		"limits":      func() { p.readLimits(&p.config.Limits) },
		"known":       func() { p.value(&p.config.KnownEndpoints) },
		"settings": func() {
			p.hasSettings = true
			p.settingsDecoder.read()
		},
	})
	p.end()
}

// complete sets missing values from the environment, and checks the configuration.
func (p *platformDecoder) complete(env func(string) string) {
	if p.config.Name == "" {
		p.config.Name = env("PROXY_NAME")
	}
	p.config.Listen = p.address("listen", p.listen, "PROXY_LISTEN", env)
	p.config.Discovery = p.address("discovery", p.discovery, "PROXY_DISCOVERY", env)
	if p.management != "" || env("PROXY_MANAGEMENT") != "" {
		p.config.Management = p.address("management", p.management, "PROXY_MANAGEMENT", env)
		p.config.StateDir = env("TMPDIR")
	}
	p.completePeers(env)
	p.config.Seed = parseSeed(p.seed, p.config.Name)
	if !p.hasSettings {
		p.errors.add(newKeyError([]string{"settings"}, &MissingError{}))
	}
	p.config.Limits.check(&p.errors)
	p.config.Settings.check(&p.errors, "settings")
}

// completePeers sets the addresses of the schedulers. Messages between schedulers are disabled if a key is missing or the
// settings do not allow them.
func (p *platformDecoder) completePeers(env func(string) string) {
	settings := &p.config.Settings
	isComplete := p.peerListen != "" && len(p.peers) > 0
	settings.PeerMessages = settings.PeerMessages && isComplete
	if !settings.PeerMessages {
		return
	}
	if len(p.peers) != settings.Replicas {
		err := &ValueError{Expected: "an address for each of settings.replicas_of_me", Value: len(p.peers)}
		p.errors.add(newKeyError([]string{"peers"}, err))
		return
	}
	if settings.ReplicaIndex < 0 || settings.ReplicaIndex >= settings.Replicas {
		err := &ValueError{Expected: fmt.Sprintf("a number from 0 to %d", settings.Replicas-1), Value: settings.ReplicaIndex}
		p.errors.add(newKeyError([]string{"settings", "me"}, err))
	}
	p.config.PeerListen = p.address("peer_listen", p.peerListen, "", env)
	for i, text := range p.peers {
		address, err := netip.ParseAddrPort(text)
		if err != nil || address.Port() == 0 {
			invalid := &ValueError{Expected: "an address and port", Value: text}
			p.errors.add(newKeyError([]string{"peers", strconv.Itoa(i)}, invalid))
		}
		p.config.Peers = append(p.config.Peers, netip.AddrPortFrom(address.Addr().Unmap(), address.Port()))
	}
}

// address parses the value of a key, or that of an environment variable if the value is empty.
func (p *platformDecoder) address(key, value, variable string, env func(string) string) netip.AddrPort {
	path := []string{key}
	if value == "" {
		value = env(variable)
	}
	if value == "" {
		p.errors.add(newKeyError(path, &MissingError{Variable: variable}))
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		p.errors.add(newKeyError(path, &ValueError{Expected: "an address and port", Value: value}))
	}
	return address
}

// parseSeed parses a seed in hexadecimal. For any other text, also an empty one, it returns a hash of the text and the
// scheduler's name.
func parseSeed(text, name string) uint64 {
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		hash := fnv.New64a()
		hash.Write([]byte(text + name))
		return hash.Sum64()
	}
	return seed
}

// Package platform stands in for the platform that configures schedulers: it derives the JSON configuration of one
// scheduler from a scenario, in the platform's own names.
//
// It owns the form of that text. Both drivers use it: the process driver writes the text to the file that PROXY_CONFIG
// names, and the simulation driver decodes its settings with the scheduler's own decoder, so that both run schedulers on
// the same settings. The package uses no random numbers, reads no files and starts no processes.
package platform

import (
	"encoding/json"
	"fmt"
	"strconv"

	"valvecove/internal/config"
	"valvecove/internal/requests"
	"valvecove/internal/testbed/scenario"
)

// Options are what one scheduler's configuration holds besides what follows from the scenario.
type Options struct {
	Name           string                // default "n" and the scheduler's index
	Listen         string                // address and port
	Discovery      string                // address and port
	PeerListen     string                // address and port for datagrams of other schedulers; empty: none
	Peers          []string              // addresses of all schedulers for datagrams, this one's included
	Seed           uint64                // of the scheduler's random number generator
	KnownEndpoints requests.EndpointList // the list that the scheduler starts with; it may be stale
}

// Config returns the whole configuration of the scheduler at an index, as JSON. The scenario must have passed its check.
func Config(spec *scenario.Scenario, scheduler int, options Options) []byte {
	if options.Name == "" {
		options.Name = "n" + strconv.Itoa(scheduler)
	}
	if options.KnownEndpoints.Endpoints == nil {
		options.KnownEndpoints.Endpoints = []requests.Endpoint{}
	}
	return encode(configuration{
		Name:       options.Name,
		Listen:     options.Listen,
		Discovery:  options.Discovery,
		PeerListen: options.PeerListen,
		Peers:      options.Peers,
		Seed:       fmt.Sprintf("%016x", options.Seed),
		Limits: limits{
			Cores:    spec.Schedulers.Cores,
			MemoryMB: spec.Schedulers.MemoryMB,
			Sockets:  spec.Schedulers.Sockets,
		},
		KnownEndpoints: options.KnownEndpoints,
		Settings:       newSettings(spec, scheduler),
	})
}

// Settings returns the settings of the scheduler at an index, as its own decoder reads them from the configuration.
func Settings(spec *scenario.Scenario, scheduler int) (config.Settings, error) {
	decoded, err := config.DecodeSettings(encode(newSettings(spec, scheduler)))
	if err != nil {
		return decoded, fmt.Errorf("settings of scheduler %d: %w", scheduler, err)
	}
	return decoded, nil
}

// encode returns JSON. A checked scenario has no number that JSON can't represent, so an error here is a bug.
func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}

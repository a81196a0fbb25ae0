// Package platform is the lab's stand-in for what the platform tells a scheduler: its whole configuration as JSON, in
// the platform's words, drawn from a scenario. Both drivers tell schedulers by it. Live, the text is the file that
// PROXY_CONFIG names; in virtual time its settings are read from the same text by the same decoder as a real
// scheduler's are.
package platform

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"valvecove/internal/config"
	"valvecove/internal/lab/scenario"
	"valvecove/internal/requests"
)

// Options are what is told of one process, beyond what follows from the scenario.
type Options struct {
	Name      string // default n and its number
	Listen    string // address and port
	Discovery string // address and port
	Seed      uint64
	Known     requests.EndpointList // as it last had it; perhaps old
}

// Prices that the co-operative puts on what schedulers do, as parts of the result. Modules weigh by them; the lab's
// figures count what was done instead of pricing it.
const (
	priceProbe    = 0.004
	priceWaste    = 0.05
	priceLateFail = 0.08
)

// The words of the settings, and figures that no scenario names.
var (
	effectWords = map[string]string{"safe": "pure", "keyed": "token", "unsafe": "side_effect"}
	cycle       = scenario.Span(4 * time.Millisecond)  // the least span between two batches, where there are batches
	slack       = scenario.Span(16 * time.Millisecond) // after a deadline, where the scenario names none
)

type conf struct {
	Name      string                `json:"name"`
	Listen    string                `json:"listen"`
	Discovery string                `json:"discovery"`
	Seed      string                `json:"seed"`
	Limits    limits                `json:"limits"`
	Known     requests.EndpointList `json:"known"`
	Settings  settings              `json:"settings"`
}

type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// micros is a span as the settings tell it.
type micros scenario.Span

// MarshalJSON writes whole microseconds.
func (m micros) MarshalJSON() ([]byte, error) {
	return strconv.AppendInt(nil, scenario.Span(m).D().Microseconds(), 10), nil
}

type settings struct {
	Family       string   `json:"family"`
	Tier         int      `json:"tier"`
	Tiers        []string `json:"tiers"`
	Replicas     int      `json:"replicas_of_me"`
	Me           int      `json:"me"`
	Zone         int      `json:"zone"`
	Zones        []string `json:"zones"`
	Kinds        []string `json:"kinds"`
	Discovery    string   `json:"discovery"`
	Round        micros   `json:"round"`
	WeightSource string   `json:"weight_source"`
	WorthBy      string   `json:"worth_by"`
	OverShare    float64  `json:"over_share_worth"`
	Classes      []class  `json:"classes"`
	Tenants      []tenant `json:"tenants"`
	Clients      struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"clients"`
	Bounds    bounds    `json:"bounds"`
	Domain    domain    `json:"domain"`
	Prices    prices    `json:"prices"`
	Rules     rules     `json:"rules"`
	Goal      goal      `json:"goal"`
	Telemetry telemetry `json:"telemetry"`
}

type class struct {
	Name        string  `json:"name"`
	Promise     micros  `json:"promise"`
	GiveUp      micros  `json:"give_up"`
	Idempotency string  `json:"idempotency"`
	DedupScope  string  `json:"dedup_scope"`
	Window      micros  `json:"window"`
	Gain        float64 `json:"gain"`
	LateShare   float64 `json:"late_share"`
	Stream      bool    `json:"stream"`
	BoundTo     []int   `json:"bound_to,omitempty"`
}

type tenant struct {
	Name      string  `json:"name"`
	Share     float64 `json:"share"`
	QuotaPerS float64 `json:"quota_per_s"`
}

type bounds struct {
	TryLimit       int    `json:"try_limit"`
	SecondCopies   bool   `json:"second_copies"`
	Cancelling     bool   `json:"cancelling"`
	Probes         bool   `json:"probes"`
	Peers          bool   `json:"peers"`
	RetryAfter     bool   `json:"retry_after"`
	MaxRetryAfter  micros `json:"max_retry_after"`
	ConnectTimeout micros `json:"connect_timeout"`
	ConnIdle       micros `json:"conn_idle"`
	Multiplex      int    `json:"multiplex"`
}

type domain struct {
	ClassKind    []int     `json:"class_kind"`
	ClassStretch []float64 `json:"class_stretch"`
	TellsStart   bool      `json:"tells_start"`
	Progress     micros    `json:"progress"`
	QueueOrder   string    `json:"queue_order"`
	Notes        string    `json:"notes"`
}

type prices struct {
	Connection float64 `json:"connection"`
	CrossZone  float64 `json:"cross_zone"`
	Discovery  float64 `json:"discovery"`
	Handshake  float64 `json:"handshake"`
	LateFail   float64 `json:"late_fail"`
	Peer       float64 `json:"peer"`
	Probe      float64 `json:"probe"`
	Waste      float64 `json:"waste"`
}

type rules struct {
	AnswerSlack       micros  `json:"answer_slack"`
	AskEvery          micros  `json:"ask_every"`
	Cold              micros  `json:"cold"`
	ColdFrom          float64 `json:"cold_from"`
	Fall              micros  `json:"fall"`
	OverloadFactor    float64 `json:"overload_factor"`
	StopSendingWithin micros  `json:"stop_sending_within"`
}

type goal struct {
	Whole       float64 `json:"whole"`
	WorstClass  float64 `json:"worst_class"`
	WorstTenant float64 `json:"worst_tenant"`
	WorstWindow float64 `json:"worst_window"`
}

type telemetry struct {
	Fields []string `json:"fields"`
	Via    string   `json:"via"`
}

// Config is the whole configuration of scheduler me of a checked scenario, as JSON.
func Config(spec *scenario.Scenario, me int, opt Options) []byte {
	if opt.Name == "" {
		opt.Name = "n" + strconv.Itoa(me)
	}
	if opt.Known.Endpoints == nil {
		opt.Known.Endpoints = []requests.Endpoint{}
	}
	c := conf{
		Name: opt.Name, Listen: opt.Listen, Discovery: opt.Discovery, Seed: fmt.Sprintf("%016x", opt.Seed),
		Limits: limits{spec.Schedulers.Cores, spec.Schedulers.MemoryMB, spec.Schedulers.Sockets},
		Known:  opt.Known, Settings: settingsOf(spec, me),
	}
	return encode(c)
}

// Settings are the settings of scheduler me as it reads them.
func Settings(spec *scenario.Scenario, me int) (config.Settings, error) {
	s, err := config.DecodeSettings(encode(settingsOf(spec, me)))
	if err != nil {
		return s, fmt.Errorf("settings of scheduler %d: %w", me, err)
	}
	return s, nil
}

func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // a checked scenario holds no figure that JSON can't
	}
	return text
}

func settingsOf(spec *scenario.Scenario, me int) settings {
	sch, rule := &spec.Schedulers, &spec.Rules
	s := settings{
		Family: "jobs", Tiers: []string{"workers"}, Replicas: sch.Count, Me: me, Zone: spec.ZoneOf(me),
		Zones: spec.Fleet.Zones, Discovery: "subscribe", Round: micros(cycle), WeightSource: spec.Fleet.Weights,
		WorthBy: "work", OverShare: spec.Load.OverWorth,
		Bounds: bounds{
			TryLimit: sch.TryLimit, SecondCopies: sch.SecondCopies, Cancelling: sch.Cancelling,
			Probes: sch.Probes, RetryAfter: sch.MaxRetryAfter > 0, MaxRetryAfter: micros(sch.MaxRetryAfter),
			ConnectTimeout: micros(sch.ConnTimeout), ConnIdle: micros(sch.ConnIdle), Multiplex: 1,
		},
		Prices: prices{LateFail: priceLateFail, Probe: priceProbe, Waste: priceWaste},
		Rules: rules{
			AnswerSlack: micros(cmp.Or(rule.Slack, slack)), AskEvery: micros(rule.AskEvery), Fall: micros(rule.Fall),
			OverloadFactor: rule.FallFactor, StopSendingWithin: micros(rule.DrainGrace),
		},
		Goal:      goal{Whole: 0.4, WorstClass: 0.2, WorstTenant: 0.25, WorstWindow: 0.15},
		Telemetry: telemetry{Fields: []string{}, Via: "off"},
	}
	s.Clients.MarksRetry = spec.Clients.MarkRetry
	s.kinds(spec.Fleet.Kinds)
	for i := range spec.Classes {
		s.class(&spec.Classes[i])
	}
	for i, t := range spec.Tenants {
		s.Tenants = append(s.Tenants, tenant{t.Name, t.Share, spec.QuotaRate(i)})
	}
	return s
}

// kinds tells of the worker nodes what holds for all of them: what one kind does not tell can't be relied on, and a
// rule has to hold for the kind that is weakest after its start.
func (s *settings) kinds(kinds []scenario.Kind) {
	s.Domain = domain{TellsStart: true, QueueOrder: "backfill", Notes: "1 it has started, 2 share done"}
	s.Rules.ColdFrom = 1
	for i := range kinds {
		k := &kinds[i]
		s.Kinds = append(s.Kinds, k.Name)
		s.Rules.Cold = max(s.Rules.Cold, micros(k.Cold))
		s.Rules.ColdFrom = min(s.Rules.ColdFrom, k.ColdFrom)
		s.Domain.TellsStart = s.Domain.TellsStart && !k.StartMute
		s.Domain.Progress = max(s.Domain.Progress, micros(k.Progress))
		if k.Order != "backfill" {
			s.Domain.QueueOrder = "fifo"
		}
	}
	if slices.ContainsFunc(kinds, func(k scenario.Kind) bool { return k.Progress == 0 || k.StartMute }) {
		s.Domain.Progress = 0
	}
}

func (s *settings) class(c *scenario.Class) {
	scope := c.Group
	if scope == "" {
		scope = "all"
	}
	only, bound := -1, []int(nil)
	if c.Kind != "" {
		only = slices.Index(s.Kinds, c.Kind)
		bound = []int{only}
	}
	s.Classes = append(s.Classes, class{
		Name: c.Name, Promise: micros(c.Aim), GiveUp: micros(c.Deadline),
		Idempotency: effectWords[c.Effect], DedupScope: scope, Window: micros(c.Window), Gain: c.Worth, BoundTo: bound,
	})
	s.Domain.ClassKind = append(s.Domain.ClassKind, only)
	s.Domain.ClassStretch = append(s.Domain.ClassStretch, c.Stretch)
}

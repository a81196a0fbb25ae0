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
	"valvecove/internal/requests"
	"valvecove/internal/testbed/scenario"
)

// Options are what is told of one process, beyond what follows from the scenario.
type Options struct {
	Name           string // default n and its number
	Listen         string // address and port
	Discovery      string // address and port
	Seed           uint64
	KnownEndpoints requests.EndpointList // as it last had it; perhaps old
}

// Prices that the co-operative puts on what schedulers do, as parts of the result. Modules weigh by them; the lab's
// figures count what was done instead of pricing it.
const (
	healthCheckPrice = 0.004
	wastePrice       = 0.05
	lateFailurePrice = 0.08
)

// The words of the settings, and figures that no scenario names.
var (
	idempotencyNames = map[string]string{"safe": "pure", "keyed": "token", "unsafe": "side_effect"}
	schedulingCycle  = scenario.Duration(4 * time.Millisecond)  // the least span between two batches, where there are batches
	answerSlack      = scenario.Duration(16 * time.Millisecond) // after a deadline, where the scenario names none
)

type configuration struct {
	Name           string                `json:"name"`
	Listen         string                `json:"listen"`
	Discovery      string                `json:"discovery"`
	Seed           string                `json:"seed"`
	Limits         limits                `json:"limits"`
	KnownEndpoints requests.EndpointList `json:"known"`
	Settings       settings              `json:"settings"`
}

type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// micros is a span as the settings tell it.
type micros scenario.Duration

// MarshalJSON writes whole microseconds.
func (m micros) MarshalJSON() ([]byte, error) {
	return strconv.AppendInt(nil, scenario.Duration(m).Std().Microseconds(), 10), nil
}

type settings struct {
	Family          string   `json:"family"`
	Level           int      `json:"tier"`
	Levels          []string `json:"tiers"`
	Replicas        int      `json:"replicas_of_me"`
	ReplicaIndex    int      `json:"me"`
	Zone            int      `json:"zone"`
	Zones           []string `json:"zones"`
	Kinds           []string `json:"kinds"`
	Discovery       string   `json:"discovery"`
	Round           micros   `json:"round"`
	WeightSource    string   `json:"weight_source"`
	WeightBy        string   `json:"worth_by"`
	OverQuotaWeight float64  `json:"over_share_worth"`
	Classes         []class  `json:"classes"`
	Tenants         []tenant `json:"tenants"`
	Clients         struct {
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
	Name                string  `json:"name"`
	LatencyObjective    micros  `json:"promise"`
	ClientTimeout       micros  `json:"give_up"`
	Idempotency         string  `json:"idempotency"`
	DeduplicationScope  string  `json:"dedup_scope"`
	DeduplicationWindow micros  `json:"window"`
	PriorityWeight      float64 `json:"gain"`
	LateValue           float64 `json:"late_share"`
	Stream              bool    `json:"stream"`
	BoundTo             []int   `json:"bound_to,omitempty"`
}

type tenant struct {
	Name      string  `json:"name"`
	Quota     float64 `json:"share"`
	QuotaPerS float64 `json:"quota_per_s"`
}

type bounds struct {
	AttemptLimit    int    `json:"try_limit"`
	Hedging         bool   `json:"second_copies"`
	Cancellation    bool   `json:"cancelling"`
	HealthChecks    bool   `json:"probes"`
	Peers           bool   `json:"peers"`
	RetryAfter      bool   `json:"retry_after"`
	MaxRetryAfter   micros `json:"max_retry_after"`
	ConnectTimeout  micros `json:"connect_timeout"`
	ConnIdleTimeout micros `json:"conn_idle"`
	Multiplex       int    `json:"multiplex"`
}

type domain struct {
	ClassKind             []int     `json:"class_kind"`
	ClassObjectiveStretch []float64 `json:"class_stretch"`
	StartNotifications    bool      `json:"tells_start"`
	ProgressInterval      micros    `json:"progress"`
	QueueOrder            string    `json:"queue_order"`
	Callbacks             string    `json:"notes"`
}

type prices struct {
	Connection  float64 `json:"connection"`
	CrossZone   float64 `json:"cross_zone"`
	Discovery   float64 `json:"discovery"`
	Handshake   float64 `json:"handshake"`
	LateFail    float64 `json:"late_fail"`
	Peer        float64 `json:"peer"`
	HealthCheck float64 `json:"probe"`
	Waste       float64 `json:"waste"`
}

type rules struct {
	AnswerSlack    micros  `json:"answer_slack"`
	PollInterval   micros  `json:"ask_every"`
	WarmUp         micros  `json:"cold"`
	WarmUpCapacity float64 `json:"cold_from"`
	OverloadWindow micros  `json:"fall"`
	OverloadFactor float64 `json:"overload_factor"`
	DrainGrace     micros  `json:"stop_sending_within"`
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
	if opt.KnownEndpoints.Endpoints == nil {
		opt.KnownEndpoints.Endpoints = []requests.Endpoint{}
	}
	c := configuration{
		Name: opt.Name, Listen: opt.Listen, Discovery: opt.Discovery, Seed: fmt.Sprintf("%016x", opt.Seed),
		Limits:         limits{spec.Schedulers.Cores, spec.Schedulers.MemoryMB, spec.Schedulers.Sockets},
		KnownEndpoints: opt.KnownEndpoints, Settings: newSettings(spec, me),
	}
	return encode(c)
}

// Settings are the settings of scheduler me as it reads them.
func Settings(spec *scenario.Scenario, me int) (config.Settings, error) {
	s, err := config.DecodeSettings(encode(newSettings(spec, me)))
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

func newSettings(spec *scenario.Scenario, me int) settings {
	sch, rule := &spec.Schedulers, &spec.Rules
	settings := settings{
		Family: "jobs", Levels: []string{"workers"}, Replicas: sch.Count, ReplicaIndex: me, Zone: spec.ZoneOf(me),
		Zones: spec.Fleet.Zones, Discovery: "subscribe", Round: micros(schedulingCycle), WeightSource: spec.Fleet.Weights,
		WeightBy: "work", OverQuotaWeight: spec.Load.OverQuotaWeight,
		Bounds: bounds{
			AttemptLimit: sch.AttemptLimit, Hedging: sch.Hedging, Cancellation: sch.Cancellation,
			HealthChecks: sch.HealthChecks, RetryAfter: sch.MaxRetryAfter > 0, MaxRetryAfter: micros(sch.MaxRetryAfter),
			ConnectTimeout: micros(sch.ConnTimeout), ConnIdleTimeout: micros(sch.ConnIdleTimeout), Multiplex: 1,
		},
		Prices: prices{LateFail: lateFailurePrice, HealthCheck: healthCheckPrice, Waste: wastePrice},
		Rules: rules{
			AnswerSlack: micros(cmp.Or(rule.Slack, answerSlack)), PollInterval: micros(rule.PollInterval), OverloadWindow: micros(rule.OverloadWindow),
			OverloadFactor: rule.OverloadFactor, DrainGrace: micros(rule.DrainGrace),
		},
		Goal:      goal{Whole: 0.4, WorstClass: 0.2, WorstTenant: 0.25, WorstWindow: 0.15},
		Telemetry: telemetry{Fields: []string{}, Via: "off"},
	}
	settings.Clients.MarksRetry = spec.Clients.MarkRetry
	settings.setKinds(spec.Fleet.Kinds)
	for i := range spec.Classes {
		settings.addClass(&spec.Classes[i])
	}
	for i, t := range spec.Tenants {
		settings.Tenants = append(settings.Tenants, tenant{t.Name, t.Quota, spec.QuotaRate(i)})
	}
	return settings
}

// setKinds tells of the worker nodes what holds for all of them: what one kind does not tell can't be relied on, and a
// rule has to hold for the kind that is weakest after its start.
func (s *settings) setKinds(kinds []scenario.WorkerKind) {
	s.Domain = domain{StartNotifications: true, QueueOrder: "backfill", Callbacks: "1 it has started, 2 share done"}
	s.Rules.WarmUpCapacity = 1
	for i := range kinds {
		k := &kinds[i]
		s.Kinds = append(s.Kinds, k.Name)
		s.Rules.WarmUp = max(s.Rules.WarmUp, micros(k.WarmUp))
		s.Rules.WarmUpCapacity = min(s.Rules.WarmUpCapacity, k.WarmUpCapacity)
		s.Domain.StartNotifications = s.Domain.StartNotifications && !k.OmitsStartNotifications
		s.Domain.ProgressInterval = max(s.Domain.ProgressInterval, micros(k.ProgressInterval))
		if k.QueueOrder != "backfill" {
			s.Domain.QueueOrder = "fifo"
		}
	}
	if slices.ContainsFunc(kinds, func(k scenario.WorkerKind) bool { return k.ProgressInterval == 0 || k.OmitsStartNotifications }) {
		s.Domain.ProgressInterval = 0
	}
}

func (s *settings) addClass(c *scenario.Class) {
	scope := c.DeduplicationScope
	if scope == "" {
		scope = "all"
	}
	only, bound := -1, []int(nil)
	if c.Kind != "" {
		only = slices.Index(s.Kinds, c.Kind)
		bound = []int{only}
	}
	s.Classes = append(s.Classes, class{
		Name: c.Name, LatencyObjective: micros(c.LatencyObjective), ClientTimeout: micros(c.Deadline),
		Idempotency: idempotencyNames[c.Idempotency], DeduplicationScope: scope, DeduplicationWindow: micros(c.DeduplicationWindow), PriorityWeight: c.PriorityWeight, BoundTo: bound,
	})
	s.Domain.ClassKind = append(s.Domain.ClassKind, only)
	s.Domain.ClassObjectiveStretch = append(s.Domain.ClassObjectiveStretch, c.ObjectiveStretch)
}

package platform

import (
	"strconv"

	"valvecove/internal/requests"
	"valvecove/internal/testbed/scenario"
)

// The types of this file define the JSON form of the configuration. Their tags have the platform's names of the fields.

// configuration is the whole configuration of one scheduler.
type configuration struct {
	Name           string                `json:"name"`
	Listen         string                `json:"listen"`
	Discovery      string                `json:"discovery"`
	PeerListen     string                `json:"peer_listen,omitempty"`
	Peers          []string              `json:"peers,omitempty"`
	Seed           string                `json:"seed"`
	Limits         limits                `json:"limits"`
	KnownEndpoints requests.EndpointList `json:"known"`
	Settings       settings              `json:"settings"`
}

// limits are the resources that the platform gives a scheduler.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// micros is a duration that is encoded in whole microseconds.
type micros scenario.Duration

// MarshalJSON returns the number of whole microseconds.
func (m micros) MarshalJSON() ([]byte, error) {
	count := scenario.Duration(m).Std().Microseconds()
	return strconv.AppendInt(nil, count, 10), nil
}

// settings are the part of the configuration that is derived from the scenario.
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

// class describes a class of jobs.
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

// tenant describes a tenant: its quota as a share of the service, and the same in jobs a second.
type tenant struct {
	Name      string  `json:"name"`
	Quota     float64 `json:"share"`
	QuotaPerS float64 `json:"quota_per_s"`
}

// bounds are the features that a scheduler may use, and limits on them.
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

// domain describes the workers and how classes depend on them.
type domain struct {
	ClassKind             []int     `json:"class_kind"`
	ClassObjectiveStretch []float64 `json:"class_stretch"`
	StartNotifications    bool      `json:"tells_start"`
	ProgressInterval      micros    `json:"progress"`
	QueueOrder            string    `json:"queue_order"`
	Callbacks             string    `json:"notes"`
}

// prices are the costs of a scheduler's actions, as fractions of the result.
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

// rules are the time limits and factors that a run is checked by.
type rules struct {
	AnswerSlack    micros  `json:"answer_slack"`
	PollInterval   micros  `json:"ask_every"`
	WarmUp         micros  `json:"cold"`
	WarmUpCapacity float64 `json:"cold_from"`
	OverloadWindow micros  `json:"fall"`
	OverloadFactor float64 `json:"overload_factor"`
	DrainGrace     micros  `json:"stop_sending_within"`
}

// goal has the weights of the parts of a result.
type goal struct {
	Whole       float64 `json:"whole"`
	WorstClass  float64 `json:"worst_class"`
	WorstTenant float64 `json:"worst_tenant"`
	WorstWindow float64 `json:"worst_window"`
}

// telemetry configures the load reports of workers.
type telemetry struct {
	Fields []string `json:"fields"`
	Via    string   `json:"via"`
}

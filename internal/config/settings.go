package config

import (
	"slices"
	"time"

	jsoniter "github.com/json-iterator/go"

	"valvecove/dispatch"
	"valvecove/internal/requests"
)

// Settings is what the platform tells of a deployment: the module's settings, and the words by which messages
// name classes, tenants, zones and kinds.
type Settings struct {
	dispatch.Settings
	Names requests.NameTable
}

// DecodeSettings reads the settings object in the platform's words, with times in microseconds. Keys that are
// not known are skipped, and those that are absent leave their zero value. Errors name the key.
func DecodeSettings(object []byte) (Settings, error) { return decodeSettings(object) }

// decodeSettings says in its errors where the object stands.
func decodeSettings(object []byte, under ...string) (Settings, error) {
	d := decoder{walker: walker{it: jsoniter.ParseBytes(jsoniter.ConfigDefault, object), path: under}}
	d.settings()
	d.end()
	return d.set, d.faults.first()
}

// decoder walks the object and puts each figure where it belongs. What two keys decide together waits in the
// unexported fields until the end.
type decoder struct {
	walker
	set                Settings
	classKind          []float64
	classStretch       []float64
	aimStretch         map[int]float64
	retryAfter         bool
	maxRetry           time.Duration
	fields             []string
	reportX0, reportX1 string
}

var effects = map[string]dispatch.Idempotency{"pure": dispatch.Idempotent, "token": dispatch.IdempotentWithKey}

var groups = map[string]dispatch.DeduplicationScope{"zone": dispatch.ScopeZone, "all": dispatch.ScopeAll}

func (d *decoder) settings() {
	s := &d.set.Settings
	d.object(func(key string) {
		switch key {
		case "replicas_of_me":
			s.Replicas = d.whole()
		case "me":
			s.ReplicaIndex = d.whole()
		case "zone":
			s.Zone = d.whole()
		case "zones":
			d.set.Names.Zones = d.texts()
		case "kinds":
			d.set.Names.MachineTypes = d.texts()
		case "discovery":
			s.MustSubscribe = d.text() == "subscribe"
		case "classes":
			d.list(d.class)
		case "tenants":
			d.list(d.tenant)
		case "bounds":
			d.object(d.bound)
		case "domain":
			d.object(d.domain)
		case "prices":
			d.object(d.price)
		case "rules":
			d.object(d.rule)
		case "goal":
			d.object(func(key string) {
				switch key {
				case "tail_part":
					s.TailShare = d.number()
				case "borne_misses":
					s.MissBudget = d.number()
				default:
					d.skip()
				}
			})
		case "telemetry":
			d.object(func(key string) {
				if key == "fields" {
					d.fields = d.texts()
				} else {
					d.skip()
				}
			})
		default:
			d.skip()
		}
	})
	d.finish()
}

func (d *decoder) class(i int) {
	c, name := dispatch.Class{}, ""
	d.object(func(key string) {
		switch key {
		case "name":
			name = d.text()
		case "promise":
			c.LatencyObjective = d.span()
		case "aim_stretch":
			if d.present() {
				if d.aimStretch == nil {
					d.aimStretch = map[int]float64{}
				}
				d.aimStretch[i] = d.number()
			}
		case "give_up":
			c.ClientTimeout = d.span()
		case "idempotency":
			c.Idempotency = effects[d.text()] // one that is not known is taken as the strictest
		case "dedup_scope":
			c.DeduplicationScope = groups[d.text()]
		case "window":
			c.DeduplicationWindow = d.span()
		case "late_share":
			c.LateValue = d.number()
		case "gain":
			c.PriorityWeight = d.number()
		case "bound_to":
			c.Kinds = d.wholes()
		case "allowed_in":
			c.Zones = d.wholes()
		default:
			d.skip()
		}
	})
	d.set.Classes = append(d.set.Classes, c)
	d.set.Names.Classes = append(d.set.Names.Classes, name)
}

func (d *decoder) tenant(int) {
	name, quota := "", 0.0
	d.object(func(key string) {
		switch key {
		case "name":
			name = d.text()
		case "quota_per_s":
			quota = d.number()
		default:
			d.skip()
		}
	})
	d.set.TenantQuota = append(d.set.TenantQuota, quota)
	d.set.Names.Tenants = append(d.set.Names.Tenants, name)
}

func (d *decoder) bound(key string) {
	s := &d.set.Settings
	switch key {
	case "try_limit":
		s.AttemptLimit = d.whole()
	case "second_copies":
		s.Hedging = d.flag()
	case "cancelling":
		s.Cancellation = d.flag()
	case "probes":
		s.HealthChecks = d.flag()
	case "retry_after":
		d.retryAfter = d.flag()
	case "max_retry_after":
		d.maxRetry = d.span()
	case "connect_timeout":
		s.ConnectTimeout = d.span()
	case "conn_idle":
		s.ConnIdleTimeout = d.span()
	default:
		d.skip()
	}
}

func (d *decoder) domain(key string) {
	switch key {
	case "class_kind":
		d.classKind = d.numbers()
	case "class_stretch":
		d.classStretch = d.numbers()
	case "progress":
		d.set.ProgressInterval = d.span()
	case "tells_start":
		d.set.StartNotifications = d.flag()
	case "report_x0":
		d.reportX0 = d.text()
	case "report_x1":
		d.reportX1 = d.text()
	default:
		d.skip()
	}
}

func (d *decoder) price(key string) {
	switch key {
	case "probe":
		d.set.HealthCheckCost = d.number()
	case "cross_zone":
		d.set.CrossZoneCost = d.number()
	case "handshake":
		d.set.HandshakeCost = d.number()
	default:
		d.skip()
	}
}

func (d *decoder) rule(key string) {
	s := &d.set.Settings
	switch key {
	case "ask_every":
		s.PollInterval = d.span()
	case "cold":
		s.WarmUp = d.span()
	case "cold_from":
		s.WarmUpCapacity = d.number()
	case "overload_factor":
		s.OverloadFactor = d.number()
	case "fall":
		s.OverloadWindow = d.span()
	default:
		d.skip()
	}
}

// finish settles what several keys decide together.
func (d *decoder) finish() {
	s := &d.set.Settings
	if d.retryAfter {
		s.MaxRetryAfter = d.maxRetry
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if i < len(d.classKind) && d.classKind[i] >= 0 {
			only := int(d.classKind[i])
			if c.Kinds != nil && !slices.Contains(c.Kinds, only) {
				only = -1 // the two leave no kind at all
			}
			c.Kinds = []int{only}
		}
		if i < len(d.classStretch) {
			c.ObjectiveStretch = d.classStretch[i]
		}
		if x, ok := d.aimStretch[i]; ok {
			c.ObjectiveStretch = x
		}
	}
	for _, name := range d.fields {
		field := dispatch.ReportFieldOther
		if name == "x0" && d.reportX0 == "free slots" || name == "x1" && d.reportX1 == "free slots" {
			field = dispatch.ReportFieldFreeSlots
		}
		s.ReportFields = append(s.ReportFields, field)
	}
}

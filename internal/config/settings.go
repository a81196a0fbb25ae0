package config

import (
	"slices"
	"strconv"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
)

// Settings are the deployment's settings: those of the dispatcher, and the names by which messages refer to classes,
// tenants, zones and machine types.
type Settings struct {
	dispatch.Settings
	Names requests.NameTable
}

// DecodeSettings reads the object settings of the platform's file, in which times are in microseconds. Keys that are not
// known are skipped, and those that are absent leave their zero value. The error is the first *KeyError.
func DecodeSettings(object []byte) (Settings, error) { return decodeSettings(object) }

// decodeSettings reads an object that stands at a path of its file.
func decodeSettings(object []byte, path ...string) (Settings, error) {
	decoder := settingsDecoder{jsonReader: newJSONReader(object, path...)}
	decoder.read()
	decoder.end()
	return decoder.settings, decoder.errors.first()
}

// settingsDecoder reads the object settings. What several keys decide together is kept until all are read.
type settingsDecoder struct {
	*jsonReader
	settings Settings

	kindOfClass     []float64       // domain.class_kind; below 0: any
	stretchOfClass  []float64       // domain.class_stretch
	explicitStretch map[int]float64 // classes[i].aim_stretch, which has precedence
	sendRetryAfter  bool
	maxRetryAfter   time.Duration
	reportFields    []string // names of the fields of load reports, in order
	meanings        reportMeanings
}

// read reads the object.
func (d *settingsDecoder) read() {
	settings := &d.settings
	d.object(fields{
		"replicas_of_me": func() { settings.Replicas = d.integer() },
		"me":             func() { settings.ReplicaIndex = d.integer() },
		"zone":           func() { settings.Zone = d.integer() },
		"zones":          func() { settings.Names.Zones = d.texts() },
		"kinds":          func() { settings.Names.MachineTypes = d.texts() },
		"discovery":      func() { settings.MustSubscribe = d.text() == "subscribe" },
		"classes":        func() { d.list(d.readClass) },
		"tenants":        func() { d.list(d.readTenant) },
		"bounds":         d.readBounds,
		"domain":         d.readDomain,
		"prices":         d.readPrices,
		"rules":          d.readRules,
		"goal":           d.readGoal,
		"telemetry":      d.readTelemetry,
	})
	d.combine()
}

// combine sets what several keys decide together.
func (d *settingsDecoder) combine() {
	d.settings.ZoneCount = len(d.settings.Names.Zones)
	if d.sendRetryAfter {
		d.settings.MaxRetryAfter = d.maxRetryAfter
	}
	for i := range d.settings.Classes {
		d.combineClass(i)
	}
	for _, name := range d.reportFields {
		d.settings.ReportFields = append(d.settings.ReportFields, d.meanings.field(name))
	}
}

// combineClass sets what a class's own keys and the section domain decide together.
func (d *settingsDecoder) combineClass(index int) {
	class := &d.settings.Classes[index]
	if index < len(d.kindOfClass) && d.kindOfClass[index] >= 0 {
		class.Kinds = onlyKind(class.Kinds, int(d.kindOfClass[index]))
	}
	if index < len(d.stretchOfClass) {
		class.ObjectiveStretch = d.stretchOfClass[index]
	}
	if stretch, ok := d.explicitStretch[index]; ok {
		class.ObjectiveStretch = stretch
	}
}

// noKind is a machine type that no worker has.
const noKind = -1

// onlyKind restricts the allowed machine types, where nil allows all, to one.
func onlyKind(allowed []int, kind int) []int {
	if allowed != nil && !slices.Contains(allowed, kind) {
		return []int{noKind}
	}
	return []int{kind}
}

// check reports settings that a scheduler can't work with. path is where they stand.
func (s *Settings) check(errs *keyErrors, path ...string) {
	report := func(err error, key ...string) {
		errs.add(newKeyError(slices.Concat(path, key), err))
	}
	if len(s.Classes) == 0 {
		report(&ValueError{Expected: "one class at least"}, "classes")
	}
	if s.AttemptLimit < 1 {
		report(&ValueError{Expected: atLeast(1), Value: s.AttemptLimit}, "bounds", "try_limit")
	}
	if s.ConnectTimeout <= 0 {
		report(&ValueError{Expected: "more than 0", Value: s.ConnectTimeout}, "bounds", "connect_timeout")
	}
	for i, class := range s.Classes {
		index := strconv.Itoa(i)
		if s.Names.Classes[i] == "" {
			report(&MissingError{}, "classes", index, "name")
		}
		if class.ClientTimeout <= 0 {
			report(&ValueError{Expected: "more than 0", Value: class.ClientTimeout}, "classes", index, "give_up")
		}
	}
	for i, name := range s.Names.Tenants {
		if name == "" {
			report(&MissingError{}, "tenants", strconv.Itoa(i), "name")
		}
	}
}

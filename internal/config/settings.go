package config

import (
	"slices"
	"strconv"
	"time"

	"valvecove/dispatch"
	"valvecove/internal/requests"
)

// Settings contains the deployment's settings: those of the dispatcher, and the names of classes, tenants, zones and machine
// types.
type Settings struct {
	dispatch.Settings
	Names requests.NameTable
}

// DecodeSettings decodes the object settings of the platform's file, in which durations are in microseconds. Unknown keys are
// skipped. The value of an absent key is the zero value. The error is the first *KeyError.
func DecodeSettings(object []byte) (Settings, error) { return decodeSettings(object) }

// decodeSettings decodes an object at a path of its file.
func decodeSettings(object []byte, path ...string) (Settings, error) {
	decoder := settingsDecoder{jsonReader: newJSONReader(object, path...)}
	decoder.read()
	decoder.end()
	return decoder.settings, decoder.errors.first()
}

// settingsDecoder decodes the object settings. Values that have to be combined with others are stored until all keys are read.
type settingsDecoder struct {
	*jsonReader
	settings Settings

	kindOfClass     []float64       // domain.class_kind; negative: any
	stretchOfClass  []float64       // domain.class_stretch
	explicitStretch map[int]float64 // classes[i].aim_stretch, which takes precedence
	sendRetryAfter  bool            // bounds.retry_after: if false, maxRetryAfter is not used
	maxRetryAfter   time.Duration
	reportFields    []string // names of the fields of load reports, in order
	meanings        reportMeanings
}

// read reads the object.
func (s *settingsDecoder) read() {
	settings := &s.settings
	s.object(fields{
		"replicas_of_me": func() { settings.Replicas = s.integer() },
		"me":             func() { settings.ReplicaIndex = s.integer() },
		"zone":           func() { settings.Zone = s.integer() },
		"zones":          func() { settings.Names.Zones = s.texts() },
		"kinds":          func() { settings.Names.MachineTypes = s.texts() },
		"discovery":      func() { settings.MustSubscribe = s.text() == "subscribe" },
		"classes":        func() { s.list(s.readClass) },
		"tenants":        func() { s.list(s.readTenant) },
		"bounds":         s.readBounds,
		"domain":         s.readDomain,
		"prices":         s.readPrices,
		"rules":          s.readRules,
		"goal":           s.readGoal,
		"telemetry":      s.readTelemetry,
	})
	s.combine()
}

// combine sets the settings that depend on several keys.
func (s *settingsDecoder) combine() {
	s.settings.ZoneCount = len(s.settings.Names.Zones)
	if s.sendRetryAfter {
		s.settings.MaxRetryAfter = s.maxRetryAfter
	}
	for i := range s.settings.Classes {
		s.combineClass(i)
	}
	for _, name := range s.reportFields {
		s.settings.ReportFields = append(s.settings.ReportFields, s.meanings.field(name))
	}
}

// combineClass sets the settings of a class that depend on its keys and on the section domain.
func (s *settingsDecoder) combineClass(index int) {
	class := &s.settings.Classes[index]
	if index < len(s.kindOfClass) && s.kindOfClass[index] >= 0 {
		class.Kinds = onlyKind(class.Kinds, int(s.kindOfClass[index]))
	}
	if index < len(s.stretchOfClass) {
		class.ObjectiveStretch = s.stretchOfClass[index]
	}
	if stretch, ok := s.explicitStretch[index]; ok {
		class.ObjectiveStretch = stretch
	}
}

// noKind is a machine type that no worker has.
const noKind = -1

// onlyKind returns the intersection of the allowed machine types, where nil means all, with one type.
func onlyKind(allowed []int, kind int) []int {
	if allowed != nil && !slices.Contains(allowed, kind) {
		return []int{noKind}
	}
	return []int{kind}
}

// check adds an error for each invalid setting. path is the path of the settings in their file.
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

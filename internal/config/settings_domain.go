package config

import "valvecove/dispatch"

// readDomain reads the section domain: additional settings of the classes, and the callbacks and load reports of workers.
func (s *settingsDecoder) readDomain() {
	s.object(fields{
		"class_kind":    func() { s.kindOfClass = s.numbers() },
		"class_stretch": func() { s.stretchOfClass = s.numbers() },
		"progress":      func() { s.settings.ProgressInterval = s.duration() },
		"tells_start":   func() { s.settings.StartNotifications = s.boolean() },
		"report_x0":     func() { s.meanings.x0 = s.text() },
		"report_x1":     func() { s.meanings.x1 = s.text() },
	})
}

// readTelemetry reads the section telemetry.
func (s *settingsDecoder) readTelemetry() {
	s.object(fields{
		"fields": func() { s.reportFields = s.texts() },
	})
}

// reportMeanings contains the meanings of the two fields of load reports that have no descriptive names.
type reportMeanings struct {
	x0, x1 string
}

// meaningFreeSlots is the only meaning that the dispatcher uses.
const meaningFreeSlots = "free slots"

// field returns the meaning of the load report's field with a name.
func (r reportMeanings) field(name string) dispatch.ReportField {
	if name == "x0" && r.x0 == meaningFreeSlots || name == "x1" && r.x1 == meaningFreeSlots {
		return dispatch.ReportFieldFreeSlots
	}
	return dispatch.ReportFieldOther
}

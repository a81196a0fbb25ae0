package config

import "valvecove/dispatch"

// readDomain reads the section domain: what the deployment's field of use adds to the classes, and what workers tell.
func (d *settingsDecoder) readDomain() {
	d.object(fields{
		"class_kind":    func() { d.kindOfClass = d.numbers() },
		"class_stretch": func() { d.stretchOfClass = d.numbers() },
		"progress":      func() { d.settings.ProgressInterval = d.duration() },
		"tells_start":   func() { d.settings.StartNotifications = d.boolean() },
		"report_x0":     func() { d.meanings.x0 = d.text() },
		"report_x1":     func() { d.meanings.x1 = d.text() },
	})
}

// readTelemetry reads the section telemetry.
func (d *settingsDecoder) readTelemetry() {
	d.object(fields{
		"fields": func() { d.reportFields = d.texts() },
	})
}

// reportMeanings say what the two fields of load reports mean whose names do not.
type reportMeanings struct {
	x0, x1 string
}

// meaningFreeSlots is the one meaning that the dispatcher uses.
const meaningFreeSlots = "free slots"

// field returns the meaning of the field of a name.
func (m reportMeanings) field(name string) dispatch.ReportField {
	if name == "x0" && m.x0 == meaningFreeSlots || name == "x1" && m.x1 == meaningFreeSlots {
		return dispatch.ReportFieldFreeSlots
	}
	return dispatch.ReportFieldOther
}

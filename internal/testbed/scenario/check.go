package scenario

import (
	"slices"
	"time"
)

// Bounds that keep a run within the resources of one machine.
const (
	maxWorkers       = 100_000
	maxSchedulers    = 1000
	maxPlanners      = 16
	maxEntries       = 1000 // of any list
	maxRate          = 1e7  // jobs per second
	maxCapacityShare = 100
	maxClosedClients = 1_000_000
	minLength        = 100 * millisecond
	maxLength        = Duration(24 * time.Hour)
	maxDuration      = Duration(24 * time.Hour)
)

// Check returns what is wrong with a scenario: a KeyError for each faulty key, joined; nil if nothing is.
func (s *Scenario) Check() error {
	check := &validator{}
	s.checkRun(check)
	s.checkFleet(check)
	s.checkClasses(check)
	s.checkTenants(check)
	s.checkLoad(check)
	s.checkClients(check)
	s.checkDurations(check)
	s.checkEnvironment(check)
	s.checkPeers(check)
	for i := range s.Faults {
		s.checkFault(check, entryKey("fault", i), &s.Faults[i])
	}
	for i, text := range s.Expect {
		if _, err := s.expectation(text); err != nil {
			check.report(entryKey("expect", i), "%w", err)
		}
	}
	s.checkListLengths(check)
	return check.err()
}

// SupportsDriver reports whether a driver is among those of the scenario.
func (s *Scenario) SupportsDriver(driver string) bool { return slices.Contains(s.Drivers, driver) }

// checkRun checks the name, the seed, the length and the drivers of a run.
func (s *Scenario) checkRun(check *validator) {
	check.validName("name", s.Name)
	if s.Seed < 0 {
		check.report("seed", "expected 0 or more, got %d", s.Seed)
	}
	check.durationInRange("length", s.Length, minLength, maxLength)
	check.durationInRange("settle", s.Settle, 0, maxLength)
	if len(s.Drivers) == 0 {
		check.report("drivers", "expected at least one of %s, %s", DriverSimulation, DriverProcess)
	}
	for i, driver := range s.Drivers {
		check.oneOf(entryKey("drivers", i), driver, DriverSimulation, DriverProcess)
	}
	check.distinct("drivers", s.Drivers)
	if s.SupportsDriver(DriverProcess) && s.Fleet.Workers > MaxProcessWorkers {
		check.report("drivers", "driver live runs at most %d workers, and fleet.nodes is %d", MaxProcessWorkers, s.Fleet.Workers)
	}
}

// checkListLengths checks how many entries each list has.
func (s *Scenario) checkListLengths(check *validator) {
	for _, list := range []struct {
		key    string
		length int
	}{
		{"fault", len(s.Faults)},
		{"expect", len(s.Expect)},
		{"bad", len(s.Misbehaving)},
		{"class", len(s.Classes)},
		{"tenant", len(s.Tenants)},
		{"fleet.kind", len(s.Fleet.Kinds)},
		{"fleet.zones", len(s.Fleet.Zones)},
	} {
		if list.length > maxEntries {
			check.report(list.key, "expected %d entries at most, got %d", maxEntries, list.length)
		}
	}
}

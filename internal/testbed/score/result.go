package score

import (
	"slices"
	"time"
)

// Result is the result of a run. Shares are from 0 to 1, work is in seconds at speed 1 times slots, times are in seconds
// since the start of the run, and latencies are in milliseconds. Series have a value for each second.
type Result struct {
	Name        string  `json:"name"`
	Description string  `json:"about,omitempty"`
	Driver      string  `json:"driver,omitempty"`
	Seed        uint64  `json:"seed"`
	Length      float64 `json:"length_s"` // the time in which jobs became due
	End         float64 `json:"end_s"`    // the time of the last event
	Capacity    float64 `json:"capacity"` // of the warm fleet according to the scenario, in work per second

	Value        Value               `json:"worth"`
	Whole        Group               `json:"whole"`
	Classes      []Group             `json:"classes"`
	Tenants      []Group             `json:"tenants"`
	Effort       Effort              `json:"effort"`
	Waste        Waste               `json:"waste"`
	Fleet        Occupancy           `json:"occupancy"`
	Seconds      Seconds             `json:"seconds"`
	Processes    []Process           `json:"schedulers"`
	Faults       []Fault             `json:"faults"`
	Marks        []Mark              `json:"marks"`
	Omitted      int                 `json:"faults_and_marks_left_out,omitempty"`
	Disturbances []Disturbance       `json:"disturbances"`
	Recovery     Recovery            `json:"recovery"`
	Misbehaving  []MisbehavingCounts `json:"bad_clients"`
	Lateness     Lateness            `json:"lab_lateness"`
}

// Lateness is how late the testbed itself was.
type Lateness struct {
	Count int64   `json:"count"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

// Result computes the result so far. The run may go on: jobs and requests that have not ended are reported as open.
func (s *Score) Result() *Result {
	result := &Result{
		Name:        s.spec.Name,
		Description: s.spec.Description,
		Driver:      s.options.Driver,
		Seed:        s.options.Seed,
		Length:      s.length.Seconds(),
		End:         s.now.Seconds(),
		Capacity:    s.spec.Capacity(),
		Faults:      slices.Clone(s.faults),
		Marks:       slices.Clone(s.marks),
		Omitted:     s.omitted,
		Misbehaving: s.misbehavingCounts(),
		Lateness: Lateness{
			Count: s.lateness.TotalCount(),
			P999:  milliseconds(s.lateness.ValueAtQuantile(99.9)),
			Max:   milliseconds(s.lateness.Max()),
		},
	}
	if result.Length == 0 {
		result.Length = result.End
	}
	result.Classes = make([]Group, len(s.classes))
	for i := range s.classes {
		result.Classes[i] = s.classes[i].result(s.spec.Classes[i].Name)
	}
	result.Tenants = make([]Group, len(s.spec.Tenants))
	for i := range result.Tenants {
		result.Tenants[i] = s.tenants[i].result(s.spec.Tenants[i].Name)
	}
	result.Whole = s.wholeGroup(result.Classes)
	result.Seconds = s.seconds()
	result.Value = result.value()
	result.Effort, result.Waste = s.effort.result(s.responses, s.jobsDue)
	result.Fleet = s.occupancy()
	result.Processes = s.processes()
	result.Disturbances = disturbances(result.Faults, result.Seconds.DueValue, result.Seconds.DueValueEarned, result.Length)
	result.Recovery = recovery(result.Disturbances)
	return result
}

func (s *Score) misbehavingCounts() []MisbehavingCounts {
	list := slices.Clone(s.misbehaving)
	for i := range list {
		counts := &list[i]
		counts.Open = counts.Connected - counts.Errors - counts.Closed - counts.Served
	}
	return list
}

// Snapshot is the state of a run while it goes on. Taking one is cheap.
type Snapshot struct {
	At        time.Duration
	JobsDue   int
	InTime    int
	Settled   int
	Rejected  int // requests rejected by schedulers
	InFlight  int // jobs
	WorkersUp int
	Workers   int
	Faults    []string // those that are active
}

// Snapshot sets a snapshot to the current state. It reuses the memory of snapshot.Faults.
func (s *Score) Snapshot(snapshot *Snapshot) {
	*snapshot = Snapshot{
		At:        s.now,
		JobsDue:   s.jobsDue,
		InTime:    s.inTime,
		Settled:   s.settled,
		Rejected:  s.responses.of(requestRejected),
		InFlight:  len(s.jobs),
		WorkersUp: s.workersUp,
		Workers:   max(len(s.workers), s.spec.Fleet.Workers),
		Faults:    snapshot.Faults[:0],
	}
	for i := range s.faults {
		if s.faults[i].Off < 0 {
			snapshot.Faults = append(snapshot.Faults, s.faults[i].Text)
		}
	}
}

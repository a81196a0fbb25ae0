package main

import (
	"valvecove/internal/testbed/experiment"
	"valvecove/internal/testbed/scenario"
)

// subjectFlags select the policy, the changes to the scenario and the scheduler's program of a run.
type subjectFlags struct {
	Policy string   `name:"policy" help:"Policy: logic, or a baseline; with the suffix +aperture each scheduler uses only part of the workers, with keys as in logic+aperture:least=20:cover=3. Virtual only." default:"logic"`
	Set    []string `name:"set" help:"Change a key of the scenario, as in load.of=0.7; may be repeated." sep:"none" placeholder:"KEY=VALUE"`
	Binary string   `name:"binary" help:"The scheduler's program; live only. Default: valvecove in this program's folder, or else a new build." type:"path"`
}

// seedFlags select the seeds of an experiment, and how many of its runs are made at once.
type seedFlags struct {
	Seeds       int    `name:"seeds" help:"Runs of each kind, on consecutive seeds." default:"10"`
	First       uint64 `name:"first" help:"The first seed." default:"1"`
	Parallelism int    `name:"at" help:"Runs at once; 0: as many as there are processors. Live, always one." default:"0"`
}

// list returns the seeds, at least one.
func (o *seedFlags) list() []uint64 { return experiment.Seeds(o.First, max(1, o.Seeds)) }

// parallelism returns the number of runs at once with a driver. Runs with real processes are made one at a
// time, since they would delay each other.
func (o *seedFlags) parallelism(driver string) int {
	if driver == scenario.DriverProcess {
		return 1
	}
	return o.Parallelism
}

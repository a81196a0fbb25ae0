package main

import (
	"valvecove/internal/testbed/experiment"
	"valvecove/internal/testbed/scenario"
)

// subjectFlags say what a run is made with.
type subjectFlags struct {
	Policy string   `name:"policy" help:"Policy: logic, or a baseline; +aperture behind it narrows what its schedulers look at, with keys as in logic+aperture:least=20:cover=3. Virtual only." default:"logic"`
	Set    []string `name:"set" help:"Change a key of the scenario, as in load.of=0.7; may be given again." sep:"none" placeholder:"KEY=VALUE"`
	Binary string   `name:"binary" help:"The scheduler's program; live only. Default: valvecove beside this one, or else built." type:"path"`
}

// seedFlags say which runs an experiment consists of.
type seedFlags struct {
	Seeds       int    `name:"seeds" help:"Runs of each kind, on consecutive seeds." default:"10"`
	First       uint64 `name:"first" help:"The first seed." default:"1"`
	Parallelism int    `name:"at" help:"Runs at once; 0: as many as there are processors, live always one." default:"0"`
}

// list returns the seeds, one at least.
func (o *seedFlags) list() []uint64 { return experiment.Seeds(o.First, max(1, o.Seeds)) }

// parallelism returns the number of runs at once with a driver. Runs with real processes would delay each other.
func (o *seedFlags) parallelism(driver string) int {
	if driver == scenario.DriverProcess {
		return 1
	}
	return o.Parallelism
}

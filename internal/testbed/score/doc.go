// Package score computes the result of a run from its trace: the value earned in time as a share of the value requested,
// latency from the time a job was due, goodput for each second, occupancy, attempts, waste, and the resources of each
// process. It also compares results over several seeds.
//
// It owns the form of a result in JSON. It observes trace events only and never relies on what a scheduler reports about
// itself. It starts no processes and does not affect the run.
//
// # Value
//
// A job's value is its class's priority weight, times its work at speed 1, times its slots; beyond its tenant's quota it
// is multiplied by Load.OverQuotaWeight. It is earned if the job's client gets a 200 within the job's latency objective,
// counted from the time the job was due, whichever of its requests gets it. The mix of a run is the weighted sum of four
// shares of value earned: 40% that of the whole run, 15% of the worst 10 s (by the second in which jobs were due), 20% of the
// worst class, 25% of the worst tenant within its quota.
//
// # Seconds
//
// Series have a value for each second of the run. DueValue and DueValueEarned count a job in the second in which it was due,
// so that their ratio is a share of the same jobs; goodput counts a job in the second in which it was answered.
//
// # Bounds
//
// A Score keeps jobs that are not settled, requests and attempts that have not ended, requests for some time after their end,
// and a record for each worker. Of everything else it keeps only sums, a histogram for each class and tenant, and the series.
// The occupancy strip has at most Options.StripRows rows, whatever the size of the fleet.
package score

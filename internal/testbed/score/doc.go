// Package score computes the result of a run from its trace: the value earned in time as a share of the value requested,
// latency from the time a job was due, goodput by the second, occupancy, attempts, waste, and the resources of each
// process. It also compares results over several seeds.
//
// It owns the form of a result in JSON. It observes trace events only and never relies on what a scheduler reports about
// itself; it starts nothing, and changes nothing that it observes.
//
// # Value
//
// A job's value is its class's priority weight, times its work at speed 1, times its slots; beyond its tenant's quota it
// is multiplied by Load.OverQuotaWeight. It is earned if the job's client has its 200 within the job's latency objective,
// counted from the time the job was due, over all its requests. The mix of a run weighs four shares: 40% the whole run,
// 15% the worst 10 s (by the second in which jobs were due), 20% the worst class, 25% the worst tenant within its quota.
//
// # Seconds
//
// Series are by the second of the run. "Requested" and "Earned" count a job in the second in which it was due, so that
// Earned over Requested is a share of the same jobs; "Goodput" counts it in the second in which it was answered.
//
// # Bounds
//
// A Score keeps what is open: jobs not settled, requests and attempts not ended, and a record for each worker. Of what has
// ended it keeps sums, one histogram for each class and tenant, and the series. The occupancy strip has at most
// Options.StripRows rows, whatever the size of the fleet.
package score

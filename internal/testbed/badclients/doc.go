// Package badclients runs plays in which misbehaving clients share a real scheduler process with usual ones: clients that write slowly
// or stop half way, clients that send as fast as they can, and clients that leave while their payouts run and whose requests come again.
//
// A play is drawn from a seed (Draw), and runs on a fakeplatform on the loopback interface (Run). It is judged by the rules of the
// platform: the memory of all processes of the scheduler together stays within its limit, each usual request gets its final answer in
// time, no payout runs twice, and nothing is sent to a worker after its client has left. All load is bounded in count and time.
//
// # Files
//
//   - play.go: what is drawn of a play
//   - run.go: one play: processes, clients, the verdict
//   - slow.go, flood.go: what misbehaving clients write
//   - departure.go: clients that leave, and the repeats of their requests
//   - usual.go: usual clients
//   - memory.go: the memory of processes
//   - verdict.go: the rules
package badclients

// Package membership assigns forwarders and workers to planners, based on the processes that are present in the cluster. Each
// forwarder follows one planner, its home; the planners partition the workers among themselves. A ForwarderMembership decides
// which planner its forwarder follows and when it moves to another; a PlannerMembership decides which cells of workers each
// planner owns, and which planners are its peers.
//
// The package owns the table of members, with their state according to the gossip engine and the state of the sessions with
// planners. It opens no connections, sends no gossip, reads no clock and draws no random numbers. It turns events into
// actions; pseudo-random choices are derived from hashes of the members' names. The caller of Step executes the actions.
//
// # Presence
//
// A session is stronger evidence than gossip. A planner with an open session is present, whatever gossip reports. A planner
// whose session was lost is not a candidate until a session opens again or gossip announces a later incarnation. A member that
// only gossip reports as failed is suspected, and is dead after Config.SuspicionTimeout unless gossip announces it again
// before. A process whose own steps run late extends its timeouts with each late step, and restarts the timeouts of the
// members that it suspects, because it may have missed reports itself.
//
// # A forwarder's home
//
// Forwarders are assigned to planners evenly: each planner gets its exact share of them, rounded up or down. All processes
// that see the same members compute the same assignment without communication. A forwarder whose planner is lost moves to
// another one immediately. Other moves are staggered by a delay derived from the forwarder's name: to a new planner, from a
// slow planner to one that is not slow, and back to a planner that has recovered. If all planners are slow, no forwarder
// moves.
//
// With few workers only some of the planners are followed, because a planner with a handful of workers has little choice and
// cells can't be partitioned evenly. The other planners are on standby. Planners announce how many workers they know.
//
// # A planner's partition
//
// Whole cells of workers are assigned to planners in proportion to the load of the forwarders that announce them as their
// home. So a planner without followers, for example a frozen one, owns no workers, and two planners that can't reach each
// other keep their partitions as long as both have followers. An absent forwarder still counts for its last home for
// Config.Retention, so that partitions stay stable during a network split or a restart of forwarders.
//
// While the views of planners differ, a worker may have two owners or none for a short time. This adds latency but does not
// affect correctness, because forwarders validate every command.
package membership

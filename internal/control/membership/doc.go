// Package membership decides what follows from the set of processes that are present. Each forwarder follows one planner,
// its home; the planners partition the workers among themselves. A ForwarderMembership decides which planner its forwarder
// follows and when it moves to another; a PlannerMembership decides which cells of workers each planner owns, and which
// planners are its peers.
//
// The package owns the table of members: what the gossip engine reports of them, and the state of the sessions with
// planners. It opens no connection, sends no gossip, reads no clock and draws no random number: events in, actions out,
// and what looks like chance follows from the members' names. Who calls Step carries out the actions.
//
// # Presence
//
// A session is better evidence than gossip. A planner with an open session is present, whatever gossip reports. One whose
// session was lost is not a candidate until a session opens again or gossip announces a later incarnation. A member that
// gossip alone reports as failed is suspect, and dead after Config.SuspicionTimeout unless gossip announces it again
// before. A process that notices that its own timers run late trusts its own judgement less: each such sign extends its
// timeouts, and the members that it suspects get the whole timeout again.
//
// # A forwarder's home
//
// Forwarders are assigned to planners evenly: each planner has its exact share of them, rounded up or down. All processes
// that see the same members compute the same assignment, without communication. A forwarder whose planner is lost moves to
// another at once. Any other move is staggered, at a time that follows from the forwarder's name: to a planner that is new,
// away from one that is slow while others are not, and back to one that has recovered. If all are slow, no forwarder moves.
//
// Where there are few workers, only some of the planners are followed, as a planner with a handful of workers has little
// choice and cells can't be partitioned evenly. The others are on standby. Planners announce how many workers they know.
//
// # A planner's partition
//
// Whole cells of workers are assigned to the planners, in proportion to the forwarders that announce that they follow
// them. So a planner that no forwarder follows any more, because it is frozen for example, owns nothing, and two planners
// that can't see each other keep their partitions for as long as both are followed. A forwarder that is gone still counts
// for its last home for Config.Retention: that holds the partitions through a network split, and a restart moves nothing.
//
// Planners whose views differ may both own a worker for a moment, or neither may. That costs time and breaks no rule, as
// forwarders validate every command.
package membership

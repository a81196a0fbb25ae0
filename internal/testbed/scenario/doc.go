// Package scenario describes runs of the testbed: a fleet, its load, its schedulers, a timeline of faults, and the
// expectations for the result.
//
// It owns the form of scenario files: it reads them from TOML, sets defaults, checks them and writes them. An error names
// the key that is wrong, as in
//
//	key "fault[2].what": unknown fault "crush"; expected one of burst, crash, cut, ...
//
// A key that is absent has its default (Default). A list that is given, for example of classes, replaces the whole default
// list; a key that is absent in an entry has the default for that type of entry. The package makes no random choices and
// runs nothing: package environment builds what a scenario describes.
//
// # Faults
//
// Keys are written here as in scenario files. A fault begins at the time `at`. Its targets are all that match every criterion
// in `on`; `on.share` reduces them to a share of them, chosen by the run's seed, but at least one. With `spread`, faults of
// workers, schedulers and planners strike their targets one after the other, evenly over that time; half_open and all other
// faults strike all targets at once. Faults may overlap: when one ends, its effect ends and those of the others stay.
// If several overlapping faults affect the same worker, the factors of slow multiply, the largest share of errors applies,
// the latest reset_at applies, and the worker hangs until the last hang has ended.
//
// Workers (`on`: names, cells, kind, zone, share). The key `for` is how long the fault lasts; 0 is until the end of the run.
//
//	crash            the process dies; connections are reset, new ones refused. `for`: until it restarts, not warmed up
//	vanish           the machine goes silent without a notice. `for`: until it restarts, not warmed up
//	hang             it accepts work, but neither starts it nor responds nor sends callbacks
//	pause            everything in it stands still. `for` is required
//	slow             its speed is divided by `size` (default 2)
//	errors           a share of the jobs it runs, `size` (default 0.5), ends with an error
//	full             it rejects all work
//	drain            it finishes what it has and accepts nothing new, until the end of the run. No `for`: see restart
//	restart          it drains, and its process ends once it has nothing left, after 30 s at the latest.
//	                 `for`: from then until it restarts, not warmed up
//	replace          the machine vanishes, and another with a new id replaces it. `for`, required: until that starts
//	gone             it drains and is removed from the endpoint list. No `for`
//	no_notes         it sends no callbacks, and does not send them later either
//	early_202_crash  it answers 202 to its next job and dies in that instant. `for`: until it restarts, not warmed up
//	handback         the jobs in its queue are returned, once. No `for`
//	refuse           new connections are refused, open ones go on
//	never_up         new connections are never established, open ones go on
//	reset_at         each new connection is reset after the worker has read `size` bytes (default 64) or, if `size` is
//	                 negative, after it has written -`size` bytes of its response
//	half_open        it forgets connections that have been idle for `size` seconds (default 0.1): what the scheduler
//	                 writes to one from then on is answered by a reset
//	slow_read        it reads requests so slowly that their last byte arrives a second late
//
// The network, between two groups: `between` (default schedulers) and `and` (default nodes); the pairs are schedulers
// with nodes, discovery or clients, nodes with discovery, and, where they are peers, schedulers with schedulers. The key `on`
// restricts the workers or schedulers among them; between schedulers and schedulers it selects those that the fault
// separates from the others.
//
//	cut              nothing passes, in either direction. What is sent meanwhile arrives when the fault ends; new
//	                 connections are not established. Discovery regards workers that it is cut off from as silent
//	cut_one_way      the same from `between` to `and` only
//	delay            a further mean delay of `size` milliseconds in each direction
//	drop_idle        the network forgets connections that have been idle for `size` seconds (default 1): what is written
//	                 to one from then on is answered by a reset
//
// Discovery (`on`: none).
//
//	disco_down       it does not respond, and watches end
//	disco_late       it notices every change `size` seconds later (default 5)
//	disco_wrong      it lists workers (`on` as for workers) as up, though they are down, silent or draining
//	disco_old        it answers with the list and revision of the fault's start, whatever changes later
//	disco_slow       its capacity is divided by `size` (default 4)
//	disco_moves      it listens on another address, until the end of the run; the old address accepts no connections,
//	                 and watches there end 1.5 s later. Schedulers get the new address by sched_reload, or when they
//	                 restart. No `for`
//
// Clients.
//
//	burst            `on`: tenant, class. Their load is multiplied by `size` (default 3)
//	storm            clients retry at once, `size` times as often (default 3), and ignore Retry-After
//
// Schedulers (`on`: schedulers, share).
//
//	sched_kill       SIGKILL. `for`: until it restarts; 0: never
//	sched_term       SIGTERM, as for a planned restart. `for`: from its end until it restarts; 0: never
//	sched_freeze     SIGSTOP, and SIGCONT after `for`, which is required
//	sched_reload     its configuration gets the current address of discovery, and SIGHUP follows. No `for`. A scheduler that
//	                 is not ready, or that started less than a second ago, gets the signal later
//	sched_replace    a successor process starts, and the old one gets SIGTERM once the successor is ready. No `for`
//
// Planners (`on`: planners, share), in runs with planners, in which schedulers are forwarders.
//
//	planner_kill     SIGKILL. `for`: until it restarts; 0: never
//	planner_term     SIGTERM, as for a planned restart. `for`: from its end until it restarts; 0: never
//	planner_freeze   SIGSTOP, and SIGCONT after `for`, which is required
//	planner_start    one that is not running starts. No `for`
//	planner_slow     everything that it receives and does is delayed by `size` milliseconds (default 80)
//	planner_drop     its connections to schedulers and to other planners break, once. No `for`
//
// Between planners and schedulers (the default), planners and planners, schedulers and schedulers (which only gossip), or
// planners and discovery. on.planners restricts the planners, on.schedulers the schedulers; within one group those
// selected are cut off from the others.
//
//	planner_cut          nothing passes, in either direction, as with cut. Gossip takes another path where there is one
//	planner_cut_one_way  the same from `between` to `and` only
package scenario

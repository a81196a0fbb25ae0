// Package scenario describes runs of the testbed: a fleet, its load, its schedulers, a timeline of faults, and the
// expectations for the result.
//
// It owns the form of scenario files: it reads them from TOML, sets defaults, checks them and writes them. An error names
// the key that is wrong, as in
//
//	key "fault[2].what": "crush" is none of the faults: burst, crash, cut, ...
//
// A key that is absent has its default (Default). A list that is given, of classes, say, replaces the whole default list;
// a key that an entry lacks has the default of its kind of entry. The package draws nothing at random and runs nothing:
// package environment builds what a scenario describes.
//
// # Faults
//
// A fault strikes at At. Its targets are all that match every criterion in On; Share reduces them to a part, drawn by the
// run's seed, one at least. With Spread workers, schedulers and planners are struck one after the other, evenly over that
// time; all other faults, and half_open, strike all targets at once. Faults may overlap: when one ends, its effect ends and
// those of the others stay. The factors of two that slow the same worker multiply; of two that make it fail the larger
// share holds; of two that reset its connections the later one; two that make it hang end with the later one.
//
// Workers (On: names, cells, kind, zone, share). For is how long the fault lasts; 0 is until the end of the run.
//
//	crash            the process dies; connections are reset, new ones refused. For: until it restarts, not warmed up
//	vanish           the machine falls silent without a notice. For: until it restarts, not warmed up
//	hang             it accepts work, but neither starts it nor responds nor sends callbacks
//	pause            nothing in it proceeds. For is required
//	slow             its speed is divided by Size (default 2)
//	errors           a share of the jobs it runs, Size (default 0.5), ends with an error
//	full             it rejects all work
//	drain            it finishes what it has and accepts nothing new, until the end of the run. No For: see restart
//	restart          it drains, and its process ends once it has nothing left, after 30 s at the latest.
//	                 For: from then until it restarts, not warmed up
//	replace          the machine vanishes, and another with a new id replaces it. For, required: until that starts
//	gone             it drains and is removed from the endpoint list. No For
//	no_notes         it sends no callbacks; those that it did not send are never sent
//	early_202_crash  it answers 202 to its next job and dies in that instant. For: until it restarts, not warmed up
//	handback         the jobs in its queue are returned, once. No For
//	refuse           new connections are refused, open ones go on
//	never_up         new connections are never established, open ones go on
//	reset_at         each new connection is reset after it has read Size bytes (default 64); below 0: after it has
//	                 written so many bytes of its response
//	half_open        it forgets connections that have been idle for Size seconds (default 0.1): what the scheduler
//	                 writes to one from then on is answered by a reset
//	slow_read        it reads requests so slowly that their last byte arrives a second late
//
// The network, between two groups: `between` (default schedulers) and `and` (default nodes); the pairs are schedulers
// with nodes, discovery or clients, nodes with discovery, and, where they are peers, schedulers with schedulers. On
// restricts the workers or schedulers among them; between schedulers and schedulers it has those that the fault separates
// from the others.
//
//	cut              nothing passes, in either direction. What was sent meanwhile arrives when it ends; new connections
//	                 are not established. Discovery regards workers that it is cut off from as silent
//	cut_one_way      the same from `between` to `and` only
//	delay            a further mean delay of Size milliseconds in each direction
//	drop_idle        the network forgets connections that have been idle for Size seconds (default 1): what is written
//	                 to one from then on is answered by a reset
//
// Discovery (On: none).
//
//	disco_down       it does not respond, and watches end
//	disco_late       it notices every change Size seconds later (default 5)
//	disco_wrong      it lists workers (On as for those) as up, though they are down, silent or draining
//	disco_old        it answers with the list and revision of the fault's start, whatever happens after
//	disco_slow       its capacity is divided by Size (default 4)
//	disco_moves      it listens on another address, until the end of the run; the old one accepts no connections, and its
//	                 watches end 1.5 s later. Schedulers learn of it by sched_reload, or when they restart. No For
//
// Clients.
//
//	burst            On: tenant, class. Their load is multiplied by Size (default 3)
//	storm            clients retry at once, Size times as often (default 3), and ignore Retry-After
//
// Schedulers (On: schedulers, share).
//
//	sched_kill       SIGKILL. For: until it restarts; 0: never
//	sched_term       SIGTERM, as for a planned restart. For: from its end until it restarts; 0: never
//	sched_freeze     SIGSTOP, and SIGCONT after For, which is required
//	sched_reload     its configuration gets the current address of discovery, and SIGHUP follows. No For. A scheduler that
//	                 is not ready, or that started less than a second ago, gets it later
//	sched_replace    a second process starts beside it, and SIGTERM follows once that is ready. No For
//
// Planners (On: planners, share), in runs that have any; schedulers are forwarders then.
//
//	planner_kill     SIGKILL. For: until it restarts; 0: never
//	planner_term     SIGTERM, as for a planned restart. For: from its end until it restarts; 0: never
//	planner_freeze   SIGSTOP, and SIGCONT after For, which is required
//	planner_start    one that is not running starts. No For
//	planner_slow     everything that it receives and does is delayed by Size milliseconds (default 80)
//	planner_drop     its connections to schedulers and to other planners break, once. No For
//
// Between planners and schedulers (the default), planners and planners, schedulers and schedulers (which only gossip), or
// planners and discovery. On: planners restricts the planners, schedulers the schedulers; within one group those selected
// are cut off from the others.
//
//	planner_cut          nothing passes, in either direction, as with cut. Gossip takes another path where there is one
//	planner_cut_one_way  the same from 'between' to 'and' only
package scenario

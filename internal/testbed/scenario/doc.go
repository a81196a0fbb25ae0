// Package scenario is what a run of the testbed is drawn from: a fleet, its load, its schedulers, and a timeline of
// faults, with expectations beside them. It is read from TOML, checked and given defaults here and nowhere else;
// what is wrong is named by its key, as in
//
//	key "fault[2].what": "crush" is none of the faults: burst, crash, cut, ...
//
// A key that is absent has its default (Default). A list that is given, of classes, say, takes the place of the
// whole default list; a key that one of its entries lacks is taken from the plainest entry of its kind.
//
// # Faults
//
// A fault strikes at At. Its targets are all that match everything in On; Share leaves so much of them, drawn by the
// run's seed, one at least. With Spread workers and schedulers are struck in turn, evenly over so long; all
// other faults, and half_open, strike at once. Faults may overlap: what one of them does ends with it, and what the
// others do stays. Two that slow the same worker multiply, of two that make it err the larger share holds, of two
// that reset its connections the later; two that have it hang end with the later one.
//
// Workers (On: names, cells, kind, zone, share). For is how long it holds; 0 is for good.
//
//	crash            the process dies; connections are reset, new ones refused. For: until it starts again, cold
//	vanish           the machine falls silent, nobody says so. For: until it starts again, cold
//	hang             it takes work, and neither begins it nor answers nor tells
//	pause            nothing in it moves. For is a must
//	slow             its speed is divided by Size (default 2)
//	errors           so much of what it runs, Size (default 0.5), ends with an error
//	full             it rejects all work
//	drain            it finishes what it has and takes nothing new, for good. No For: see restart
//	restart          it drains, and its process ends once it has nothing left, after 30 s at the latest.
//	                 For: from there until it starts again, cold
//	replace          the machine vanishes for good, another with a new id takes its place. For, a must: until that starts
//	gone             it drains and is taken off the list for good. No For
//	no_notes         it tells nothing of its jobs; what it has not told stays untold
//	early_202_crash  it answers 202 to its next job and dies at that instant. For: until it starts again, cold
//	handback         what waits in it is returned, once. No For
//	refuse           new connections are refused, those there go on
//	never_up         new connections never come up, those there go on
//	reset_at         each new connection is reset once it has read Size bytes (default 64); below 0: once it has
//	                 written so many of its answer
//	half_open        it forgets connections that have been idle for Size seconds (default 0.1): what the scheduler
//	                 writes to one from then on is answered by a reset
//	slow_read        it reads requests so slowly that their last byte comes a second late
//
// The network, between two crowds: `between` (default schedulers) and `and` (default nodes); the pairs are schedulers
// with nodes, discovery or clients, and nodes with discovery. On narrows the workers or schedulers among them.
//
//	cut              nothing passes, either way. What was sent meanwhile arrives when it ends; new connections never
//	                 come up. Discovery takes workers that it is cut off from for silent
//	cut_one_way      the same from `between` to `and` only
//	delay            so much more each way on the mean, Size milliseconds
//	drop_idle        connections that have been idle for Size seconds (default 1) are forgotten on the way: what is
//	                 written to one from then on is answered by a reset
//
// Discovery (On: none).
//
//	disco_down       it answers nothing, and watches end
//	disco_late       it comes to know of everything Size seconds later (default 5)
//	disco_wrong      it lists workers (On as for those) as up, though they are down, silent or drain
//	disco_old        it answers with the list and generation of the moment of the fault, whatever happens after
//	disco_slow       its capacity is divided by Size (default 4)
//	disco_moves      it answers at another address from now on, for good; the old one accepts nothing new, and its
//	                 watches end 1.5 s later. Schedulers learn of it by sched_reload, or at their next start. No For
//
// Clients.
//
//	burst            On: tenant, class. What they ask for is multiplied by Size (default 3)
//	storm            clients retry at once, Size times as often (default 3), and heed no Retry-After
//
// Schedulers (On: schedulers, share).
//
//	sched_kill       SIGKILL. For: until it starts again; 0: never
//	sched_term       SIGTERM, as at a planned restart. For: from its end until it starts again; 0: never
//	sched_freeze     SIGSTOP, and SIGCONT after For, which is a must
//	sched_reload     its configuration names the address at which discovery is now, and SIGHUP. No For. One that is
//	                 not ready, or is in its first second, gets it as soon as it is neither
//	sched_replace    a second process starts beside it, and SIGTERM follows once that says that it is ready. No For
//
// Planners (On: planners, share), of runs that have any; schedulers are forwarders then.
//
//	planner_kill     SIGKILL. For: until it starts again; 0: never
//	planner_term     SIGTERM, as at a planned restart. For: from its end until it starts again; 0: never
//	planner_freeze   SIGSTOP, and SIGCONT after For, which is a must
//	planner_start    one that does not run starts. No For
//	planner_slow     it takes in and does everything Size milliseconds late (default 80)
//	planner_drop     its connections to schedulers and to other planners break, once. No For
//
// Between planners and schedulers (the default), planners and planners, schedulers and schedulers (who only gossip), or
// planners and discovery. On: planners narrows the planners, schedulers the schedulers; of a crowd and itself those
// named are cut off from the others.
//
//	planner_cut          nothing passes, either way, as with cut. Gossip goes round it where there is a way
//	planner_cut_one_way  the same from 'between' to 'and' only
package scenario

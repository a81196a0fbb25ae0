// Package checker checks a run against the rules for schedulers. It keeps its own history of every job, from the trace of
// what clients, workers and discovery saw (package trace) and never from what a scheduler reports. It explains each
// violation by the events of its job. It never influences the run.
//
// # The rules
//
// The names in the first column are stable. Figures are those of the scenario (scenario.Rules, Schedulers, Classes).
// "May have run" (possibly executed) is said of an attempt that reached a worker, unless that node has turned it away unseen or
// handed it back unstarted before. An attempt that never reached one never ran, whatever the scheduler makes of it.
// The later of two attempts is the one whose first byte was written later. P is PROTOCOL, W is WIRE.
//
//	one-answer             each request that a running scheduler has taken gets one final answer, seen by its client
//	                       within its budget, the slack and the network's delay. Broken by a second answer; by none
//	                       in time; by a connection that the scheduler ends without a whole answer; by an attempt
//	                       whose first byte is written later than 0.1 s after its client saw the end, or left.
//	                       P The rules on sockets; W The contract, 1
//	payout-once            a job of a non-idempotent class reaches no worker while an earlier attempt at it may have run,
//	                       and begins to run once at most. It is known by the job over all its tries, since clients
//	                       try such a job again only after a rejection; what a client does after another end of a try
//	                       is not laid to schedulers. W The contract, 2
//	key-scope              once an attempt of a keyed request may have run, later ones go to the same cell or zone (or
//	                       to all) and begin within the class's window from its first byte; all carry the client's
//	                       key. W The contract, 2; P Schedulers to workers
//	refusal-harmless       429 and 503 are for requests of which no attempt may have run, or comes to a worker
//	                       later; safe ones, and keyed ones that all workers know, may always be refused.
//	                       W The contract, 2; P The rules on sockets
//	drain                  no request's first byte is written to a worker later than drain_grace after the scheduler
//	                       was told that it drains or is gone. What never arrived counts as told 6 s later, so one that
//	                       is cut off from discovery for longer can but send nothing there, or break it.
//	                       W The contract, 3; P The rules on sockets, Figures
//	cold                   no cold worker is pushed over with two thirds of the work from schedulers that had been
//	                       told of its start. W The contract, 4
//	one-attempt-per-node   one worker has one attempt of a request at a time. P Schedulers to workers
//	attempts               a request reaches workers try_limit times at most; without second_copies a later attempt
//	                       begins only once the earlier have ended or were given up. W bounds; P Schedulers to worker
//	                       nodes
//	made-by-node           the body of a 200 is a result that a worker made for this very request. P The rules on
//	                       sockets
//	prompt-refusal         what has been given up is answered at once: see below. LATER
//	id-unknown             no worker gets a request that no client sent (its 400), or one without an id (its 404).
//	                       P Schedulers to workers
//	bad-clients            live: a misbehaving client has an error or a close within bad_answered of connecting (twice that with
//	                       a huge body to send), and never a 200. LATER, Misbehaving clients
//	limits                 live: a scheduler stays within its memory and descriptors. P, DEPLOY, Limits
//	crash                  a scheduler ends by itself only after SIGTERM. DEPLOY; LATER, New configurations and restarts
//
// # What is excused of one-answer
//
//   - What a process held that was killed, or had crashed (which is a rule of its own). After SIGTERM only what came
//     within 0.7 s of it; what came later, and all that an exit leaves unanswered, is lost, unless a cut may have held
//     its answer up. What was still on its way when the process ended was never taken.
//   - A request that met a frozen scheduler, unless that woke a slack or more before the time was up.
//   - A request whose client was cut off from the scheduler, or slowed down, by a fault of the scenario.
//   - A close that crosses the request, which comes within the time that a word takes there and back, on a new connection
//     as on any other, and only if nothing was sent on for the request.
//   - A client that leaves by itself, and one that gives up before an answer of the budget's last moment can have come.
//
// # Attempts that overlap
//
// Both rules on what is out at once allow the scheduler to give an attempt up, by DELETE or by closing the connection,
// and go on at once; the two messages may cross on their way. So an overlap counts only once the way has proved open:
// something else of the same scheduler has reached the worker that has the earlier attempt, and still that runs
// on as if nobody had given it up.
//
// # Prompt rejections
//
// Two readings, both with the figure give_up_within, neither of which looks into a scheduler:
//
//   - Nothing more could be done: a non-idempotent request's attempt has failed or was lost, or all attempts allowed have ended,
//     and the scheduler has answered the callback that said so. Then a rejection or failure is due within give_up_within.
//   - There was nothing left to hope for: an answer past its objective earns nothing, so holding a request ends in reason when
//     no worker could bring it in time any more. The aim depends on the job's work, of which schedulers have but
//     a rough idea; the checker takes them to believe in as much as the scenario's hints can make them (objectiveHorizon in
//     rules.go), bounded by the budget, and in more where something makes runs look long: untold starts, pauses,
//     freezes, slowness. A rejection is held back when it comes give_up_within after that, nothing of the request having
//     been out for as long. Jobs so heavy, or so badly known, that this is past their time are not judged.
//
// Out is also what was written and lies unread, swallowed by the network or a silent machine, until its connection ends
// for the scheduler (trace.AttemptUnread); what was answered to a scheduler that is cut off from workers, until the cut
// ends; and, for as long as a dial may take, what may wait for a connection while something keeps these from coming up.
// A connection that the network has forgotten, which a worker takes for its scheduler's giving up, says nothing.
//
// Of a request that met a frozen scheduler, or a cut between that and its client, neither is asked.
//
// # Lateness of the testbed
//
// Late trace events widen time limits by as much for a second. Beyond Options.Late they make the run invalid.
//
// # Memory and time
//
// A trace event costs a map access or two. A job is remembered until it has been settled for as long as the longest window
// of a class, and never more than 65,536 settled jobs, with at most 64 trace events each; the fleet's last 4,096 trace events are
// kept to be told between those of a job. Of each rule the first 16 breaches are explained in full, the others counted.
package checker

// Package capture records what the scheduler receives and what its dispatcher decides, and replays such records. A
// capture is a text of JSON lines, kept in a ring in memory or in files. It holds the events of each step of the
// dispatcher as they were given to it, with the step's time, and the decisions that it took. It consists of segments,
// each of which opens with the dispatcher's whole state; so what remains of a ring whose beginning was overwritten
// replays exactly.
//
// The package owns the form of captures, which outlive the build that wrote them. Recording never changes or delays a
// decision: an error of the recorder ends the capture, not the scheduler. No payload is recorded.
package capture

// Package capture records the input of the scheduler and the decisions of its dispatcher, and replays such records. A capture is
// a text of JSON lines, stored in a ring in memory or in files. It contains the events and the time of each step of the
// dispatcher, and the resulting decisions. It consists of segments, each of which starts with the dispatcher's complete state, so
// that the rest of a ring whose oldest segments were overwritten can be replayed exactly.
//
// The format of captures is stable across builds. Recording does not change or delay a decision: an error of the recorder ends
// the capture, not the scheduler. Payloads are not recorded.
package capture

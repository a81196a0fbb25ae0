//go:build race

package simulation

// defaultRunCount is lower with the race detector, which makes each run ten times as slow.
const defaultRunCount = 40

//go:build race

package simulation

// defaultRunCount random runs take a few seconds under the race detector, which makes each ten times as slow.
const defaultRunCount = 40

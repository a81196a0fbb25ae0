//go:build race

package simulation

// playsAtOnce are as many random runs as the race detector, which makes each ten times as slow, leaves the time for.
const playsAtOnce = 40

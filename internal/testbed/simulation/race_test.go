//go:build race

package simulation

// playsAtOnce are as many random plays as the race detector, which makes each ten times as slow, leaves the time for.
const playsAtOnce = 40

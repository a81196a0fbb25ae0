//go:build !race

package simulation

// playsAtOnce are as many random runs as take a few seconds.
const playsAtOnce = 400

//go:build !race

package simulation

// defaultRunCount random runs take a few seconds.
const defaultRunCount = 400

//go:build !race

package scenarios

// raceDetector is whether the tests run with the race detector.
const raceDetector = false

//go:build !race

package scenarios

// raceDetector says whether the tests run with the race detector.
const raceDetector = false

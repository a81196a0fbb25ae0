//go:build race

package scenarios

const raced = true

//go:build race

package pimfleet_test

// raceFactor is how much the race detector may slow a test down. Its documentation says 2 to 20 times.
const raceFactor = 10

//go:build !race

package pimfleet_test

// raceFactor is 1 without the race detector.
const raceFactor = 1

// Package explain traces calls in the logs of several nodes. For one call it
// returns all lines with its ID in order of time, each with what its node had
// last logged about the configuration, the store, the members and its target.
// For all calls it counts why they failed without a response from a target,
// over the whole logs or by path and interval, and draws the failures over time.
package explain

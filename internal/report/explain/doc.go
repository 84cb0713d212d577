// Package explain reads the logs of several nodes and tells the life of one
// call: each line that names its id, in the order of time, and before each line
// what its node last believed of the configuration, the store and the target.
package explain

// Package rollout decides how calls move to a new version of a pool's targets: which
// targets get calls, how many calls go to the new version, whether it is as good as the
// current one, and when it takes over or is rolled back.
//
// It guards against a new version that fails or is slow, at once or later, under load or
// on one route. The bound on exposure needs no coordination: each sender limits the share
// of its own calls, so the bound holds for the sum over all senders, also for those that
// are partitioned, restarted or out of date. The two versions are compared over the same
// time and the same routes, so that a fault common to both, such as one of a pool that
// both call, counts against neither.
package rollout

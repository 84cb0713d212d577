// Package rollout decides how a new version of a pool's targets is delivered: which
// targets get calls, how many go to the new version, whether it is as good as the one
// in force, and when it takes over or is rolled back.
//
// It answers a version that fails or is slow, at once or later, under load or on one
// route. Without it such a version gets its full share of calls. The bound on exposure
// needs no agreement: each sender spends a part of its own calls, so the sum over all
// senders keeps it, whoever is cut off, has just started or knows an old state. The
// two versions are compared over the same time and the same routes, so that what is
// wrong for both, such as a pool that both call, is held against neither.
package rollout

// Package callerwait estimates how long a call's caller has been waiting since its
// first attempt, from the remaining timeout of the call and from whether its
// connection is new.
//
// Under saturation, callers retry refused calls, and the retries would take most of
// the slots although their responses arrive too late. With the estimate these slots
// go to new calls.
package callerwait

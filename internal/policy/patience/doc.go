// Package patience tells how long a call's caller has been waiting already, from
// the time that it still allows and from whether its connection is new.
//
// The load it answers is saturation under callers that come back: each refused
// call returns once or twice, and beside fresh calls the returned ones, whose
// answers would come late whatever happens, take two slots in three. Without
// it nearly every answer is late; with it fresh calls get the slots and most of
// what is served at all is served in time.
package patience

package event

// The 1600s are about the platform store.
const (
	StoreUnavailable Code = 1601
	StoreAvailable   Code = 1602
	StoreCatchingUp  Code = 1603
)

var storeEvents = map[Code]Entry{
	StoreAvailable:   {Info, "the platform store answers", "nothing"},
	StoreCatchingUp:  {Info, "if on is true, the node reads the store instead of watching it, after a series of versions or a failed watch; otherwise it watches again", "if it repeats without a series of versions, look at the link to the store"},
	StoreUnavailable: {Warn, "the platform store did not answer", "see docs/operators/store.md; calls continue with the active version"},
}

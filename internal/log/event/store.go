package event

// The 1600s are about the platform's store.
const (
	StoreUnavailable Code = 1601
	StoreBack        Code = 1602
	StoreCatching    Code = 1603
)

var storeEvents = map[Code]Entry{
	StoreBack:        {Info, "the platform store answers", "nothing"},
	StoreCatching:    {Info, "the store is read and not watched, as versions come in a row or a watch failed; or no longer so", "if it repeats on a calm day, look at the link to the store"},
	StoreUnavailable: {Warn, "the platform store did not answer", "see docs/operators/store.md; calls go on with the version held"},
}

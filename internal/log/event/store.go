package event

// The 1600s are about the platform's store.
const (
	StoreUnavailable Code = 1601
	StoreBack        Code = 1602
)

var storeEvents = map[Code]Entry{
	StoreBack:        {Info, "the platform store answers", "nothing"},
	StoreUnavailable: {Warn, "the platform store did not answer", "see docs/operators/store.md; calls go on with the version held"},
}

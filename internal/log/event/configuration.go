package event

// The 1100s are about versions of the configuration.
const (
	VersionApplied Code = 1101
	VersionRefused Code = 1102
	StoreIsOlder   Code = 1103
)

var configurationEvents = map[Code]Entry{
	VersionApplied: {Info, "configuration version applied", "nothing"},
	VersionRefused: {Error, "configuration version refused; the version held stays in force", "read the error; a format error asks for a newer program on this node"},
	StoreIsOlder:   {Error, "the platform store holds an older version than the fleet", "see docs/operators/store.md; the fleet keeps its version"},
}

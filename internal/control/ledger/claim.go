package ledger

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"banyanlug.example/banyanlug/internal/control/ledger/ledgerpb"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/once"
)

const (
	// claimPause is how long a claim waits before it asks again: a first send
	// that has just ended brings its answer in less.
	claimPause = 20 * time.Millisecond
	// minTries and maxTries bound the asking. They differ from send to send, so
	// that of two that each hold a part of a row one gives up first.
	minTries, maxTries = 6, 18
	// handOverTime is how long a claim waits for a row that changes hands: a
	// new holder gives up the records of a dead one after three seconds, and on
	// a busy machine needs some more for its own. The call's deadline ends the
	// wait before, if it is sooner.
	handOverTime = 8 * time.Second
	// endTimeout bounds how long a call's answer follows its row's holders.
	endTimeout = 5 * time.Second
	// endTries is how often a holder is told that does not answer: one that is
	// busy has answered by then, and one that has died holds nothing any more.
	endTries = 4
	// holderTimeout bounds one holder's answer. Two of three suffice, so it is
	// waited for only where two are slow at once; a machine that is busy for a
	// second must not make calls' outcomes unknown.
	holderTimeout = 2 * time.Second
)

// Claim is the right to run a call once.
type Claim struct {
	n     *Node
	row   int
	epoch uint64
	key   string
	token once.Token
}

// Claim takes the right to run the call that key names, or returns the answer
// that it got before, an UnknownError or a FullError.
func (n *Node) Claim(ctx context.Context, key string, until time.Time) (*Claim, []byte, error) {
	c := &Claim{n: n, row: once.RowOf(key), key: key, token: once.Token{Boot: n.boot, Number: n.number.Add(1)}}
	actx, cancel := n.clock.WithTimeout(ctx, until.Sub(n.clock.Now()))
	defer cancel()
	if err := n.awaitTable(actx, c.row); err != nil {
		return nil, nil, c.unknown(nil)
	}
	began := n.clock.Now()
	var verdicts []once.Verdict
	for tries := minTries + rand.IntN(maxTries-minTries); tries > 0; {
		d, answer, words := c.round(actx, until)
		verdicts = words
		switch d {
		case once.Run:
			if !n.clock.Now().Before(until) {
				c.Abandon()
				return nil, nil, &UnknownError{Key: key, Verdicts: verdicts}
			}
			return c, nil, nil
		case once.Replay:
			return nil, answer, nil
		case once.NotRun:
			c.Abandon()
			return nil, nil, &FullError{Key: key}
		case once.Unknown:
			c.Abandon()
			return nil, nil, c.unknown(verdicts)
		case once.Again:
		}
		if n.clock.Sleep(actx, claimPause/2+rand.N(claimPause)) != nil {
			break
		}
		if !old(words) {
			tries--
			continue
		}
		// The row is being handed over, which ends soon; a planned stop of a
		// holder must fail no call.
		if n.clock.Since(began) > handOverTime {
			break
		}
		c.renew(actx, words)
	}
	c.Abandon()
	return nil, nil, c.unknown(verdicts)
}

// awaitTable waits until the node knows who holds a row: a node that has just
// started hears of it within moments.
func (n *Node) awaitTable(ctx context.Context, row int) error {
	for {
		n.mu.Lock()
		news, known := n.news, n.table[row].row.Epoch() > 0
		n.mu.Unlock()
		if known {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-news:
		}
	}
}

func (c *Claim) unknown(verdicts []once.Verdict) error {
	c.n.log.Emit(event.OutcomeUnproven, event.F("row", c.row), event.F("epoch", c.epoch), event.F("verdicts", verdicts))
	return &UnknownError{Key: c.key, Verdicts: verdicts}
}

// old reports whether the verdicts tell of a table that has changed since.
func old(verdicts []once.Verdict) bool {
	for _, v := range verdicts {
		if v == once.Stale || v == once.Unready {
			return true
		}
	}
	return false
}

// renew asks the holders that know of a later table, or else some nodes.
func (c *Claim) renew(ctx context.Context, verdicts []once.Verdict) {
	holders := c.n.row(c.row).Holders()
	for i, v := range verdicts {
		if (v == once.Stale || v == once.Unready) && i < len(holders) && c.n.ask(ctx, holders[i].Peer()) {
			return
		}
	}
	c.n.refresh(ctx)
}

// word is one holder's answer.
type word struct {
	from    int
	verdict once.Verdict
	answer  []byte
}

// round asks all holders at once and returns as soon as they suffice.
func (c *Claim) round(ctx context.Context, until time.Time) (once.Decision, []byte, []once.Verdict) {
	row := c.n.row(c.row)
	c.epoch = row.Epoch()
	holders := row.Holders()
	if len(holders) == 0 {
		return once.Again, nil, nil
	}
	words := make(chan word, len(holders))
	left := min(until.Sub(c.n.clock.Now()), holderTimeout)
	for i, m := range holders {
		c.n.working.Go(func() {
			// A slow holder may go on when the others suffice: its record
			// helps where one of them dies.
			hctx, cancel := c.n.clock.WithTimeout(context.WithoutCancel(ctx), left)
			defer cancel()
			resp, err := c.n.at(m.Peer()).Claim(hctx, &ledgerpb.ClaimRequest{
				Row: uint32(c.row), Epoch: row.Epoch(), Key: c.key, Token: fromToken(c.token),
				LeftMs: uint32(max(0, until.Sub(c.n.clock.Now()).Milliseconds())),
			})
			if err != nil {
				words <- word{from: i}
				return
			}
			words <- word{i, once.Verdict(resp.GetVerdict()), resp.GetAnswer()}
		})
	}
	verdicts := make([]once.Verdict, len(holders))
	for range holders {
		w := <-words
		if w.verdict > once.Full {
			w.verdict = once.Silent
		}
		verdicts[w.from] = w.verdict
		switch d := once.Decide(len(holders), verdicts); d {
		case once.Run, once.Replay:
			return d, w.answer, verdicts
		default:
		}
	}
	return once.Decide(len(holders), verdicts), nil, verdicts
}

// Complete keeps the answer of the call for its re-sends.
func (c *Claim) Complete(answer []byte) {
	c.end(&ledgerpb.EndRequest{Done: true, Answer: answer})
}

// Abandon gives back the claim on a call that has not run and will not.
func (c *Claim) Abandon() { c.end(&ledgerpb.EndRequest{}) }

// end tells the holders in the background, again and again until all have heard
// it: a claim that a holder has not heard the end of keeps the key from every
// other send, which is told that the outcome is unknown.
func (c *Claim) end(req *ledgerpb.EndRequest) {
	req.Row, req.Key, req.Token = uint32(c.row), c.key, fromToken(c.token)
	c.n.working.Go(func() {
		ctx, cancel := c.n.clock.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		for tries := 1; ; {
			row := c.n.row(c.row)
			epoch, all := c.tell(ctx, row.Holders(), req)
			switch {
			case epoch > row.Epoch():
			case all || tries == endTries:
				return
			default:
				tries++
			}
			if epoch > row.Epoch() {
				// The row has been handed over meanwhile, without this end.
				c.n.refresh(ctx)
			}
			if c.n.clock.Sleep(ctx, claimPause) != nil {
				return
			}
		}
	})
}

// tell brings the end to some holders and returns the latest epoch that they
// know of, and whether all have heard it.
func (c *Claim) tell(ctx context.Context, holders []once.Member, req *ledgerpb.EndRequest) (epoch uint64, all bool) {
	var missed atomic.Int32
	epochs := make([]uint64, len(holders))
	var told sync.WaitGroup
	for i, m := range holders {
		told.Go(func() {
			hctx, cancel := c.n.clock.WithTimeout(ctx, holderTimeout)
			defer cancel()
			resp, err := c.n.at(m.Peer()).End(hctx, req)
			if err != nil {
				missed.Add(1)
				return
			}
			epochs[i] = resp.GetEpoch()
		})
	}
	told.Wait()
	return slices.Max(append(epochs, 0)), missed.Load() == 0
}

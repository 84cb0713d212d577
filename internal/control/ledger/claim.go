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
	"banyanlug.example/banyanlug/internal/policy/idempotency"
)

const (
	// claimRetryDelay is the mean delay between the rounds of a claim, long enough
	// for the end of another attempt to reach the replicas.
	claimRetryDelay = 20 * time.Millisecond
	// minRounds and maxRounds bound the rounds of a claim. The number is random, so
	// that one of two attempts that block each other ends before the other.
	minRounds, maxRounds = 6, 18
	// handOverTimeout bounds the wait for a hand-over of the partition, within the
	// call's deadline. A new replica waits three seconds for the records of a failed
	// one.
	handOverTimeout = 8 * time.Second
	// endTimeout bounds the delivery of a claim's end.
	endTimeout = 5 * time.Second
	// endAttempts is how often a claim's end is sent to a replica that does not
	// respond. A busy replica has responded by then, and one that has failed holds nothing any
	// more.
	endAttempts = 4
	// replicaTimeout bounds one replica's response. Replicas that are busy for a
	// second must not make the outcome of calls unknown. Two of three responses suffice, so it
	// passes only if two replicas are slow at once.
	replicaTimeout = 2 * time.Second
)

// Claim is the right to run a call once.
type Claim struct {
	n         *Node
	partition int
	epoch     uint64
	key       string
	token     idempotency.Token
}

// Claim obtains the right to run the call that key identifies, or returns the
// answer of an earlier attempt. It returns an UnknownError or a FullError if it
// gets neither before the call's deadline.
func (n *Node) Claim(ctx context.Context, key string, deadline time.Time) (*Claim, []byte, error) {
	c := &Claim{n: n, partition: idempotency.PartitionOf(key), key: key, token: idempotency.Token{Boot: n.boot, Number: n.number.Add(1)}}
	actx, cancel := n.clock.WithTimeout(ctx, deadline.Sub(n.clock.Now()))
	defer cancel()
	if err := n.awaitTable(actx, c.partition); err != nil {
		return nil, nil, c.unknownOutcome(nil)
	}
	started := n.clock.Now()
	var verdicts []idempotency.Verdict
	for rounds := minRounds + rand.IntN(maxRounds-minRounds); rounds > 0; {
		decision, answer, latest := c.round(actx, deadline)
		verdicts = latest
		switch decision {
		case idempotency.Run:
			if !n.clock.Now().Before(deadline) {
				c.Abandon()
				return nil, nil, &UnknownError{Key: key, Verdicts: verdicts}
			}
			return c, nil, nil
		case idempotency.Replay:
			return nil, answer, nil
		case idempotency.NotRun:
			c.Abandon()
			return nil, nil, &FullError{Key: key}
		case idempotency.Unknown:
			c.Abandon()
			return nil, nil, c.unknownOutcome(verdicts)
		case idempotency.Retry:
		}
		if n.clock.Sleep(actx, claimRetryDelay/2+rand.N(claimRetryDelay)) != nil {
			break
		}
		if !tableChanged(latest) {
			rounds--
			continue
		}
		// Rounds during a hand-over don't count, so that a planned stop of a
		// replica fails no calls.
		if n.clock.Since(started) > handOverTimeout {
			break
		}
		c.refreshTable(actx, latest)
	}
	c.Abandon()
	return nil, nil, c.unknownOutcome(verdicts)
}

// awaitTable waits until the node has a partition's assignment. A node that has just
// started fetches it from its peers.
func (n *Node) awaitTable(ctx context.Context, partition int) error {
	for {
		n.mu.Lock()
		changed, known := n.tableUpdated, n.table[partition].assignment.Epoch() > 0
		n.mu.Unlock()
		if known {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (c *Claim) unknownOutcome(verdicts []idempotency.Verdict) error {
	c.n.log.Emit(event.ClaimFailed, event.F("row", c.partition), event.F("epoch", c.epoch), event.F("verdicts", verdicts))
	return &UnknownError{Key: c.key, Verdicts: verdicts}
}

// tableChanged reports whether a replica has a later epoch than the claim's, or
// does not serve the partition.
func tableChanged(verdicts []idempotency.Verdict) bool {
	for _, v := range verdicts {
		if v == idempotency.Stale || v == idempotency.NotServing {
			return true
		}
	}
	return false
}

// refreshTable fetches the table from a replica that may have a later one, or else
// from random nodes.
func (c *Claim) refreshTable(ctx context.Context, verdicts []idempotency.Verdict) {
	replicas := c.n.assignment(c.partition).Replicas()
	for i, v := range verdicts {
		if (v == idempotency.Stale || v == idempotency.NotServing) && i < len(replicas) && c.n.fetchTable(ctx, replicas[i].Peer()) {
			return
		}
	}
	c.n.refresh(ctx)
}

// response is one replica's response to a claim.
type response struct {
	replica int
	verdict idempotency.Verdict
	answer  []byte
}

// round sends the claim to all replicas at once and returns as soon as their
// responses decide it.
func (c *Claim) round(ctx context.Context, deadline time.Time) (idempotency.Decision, []byte, []idempotency.Verdict) {
	assignment := c.n.assignment(c.partition)
	c.epoch = assignment.Epoch()
	replicas := assignment.Replicas()
	if len(replicas) == 0 {
		return idempotency.Retry, nil, nil
	}
	responses := make(chan response, len(replicas))
	timeout := min(deadline.Sub(c.n.clock.Now()), replicaTimeout)
	for i, m := range replicas {
		c.n.background.Go(func() {
			// Don't cancel the request when the others suffice: a slow replica's
			// record of the claim helps if one of them fails.
			actx, cancel := c.n.clock.WithTimeout(context.WithoutCancel(ctx), timeout)
			defer cancel()
			resp, err := c.n.client(m.Peer()).Claim(actx, &ledgerpb.ClaimRequest{
				Row: uint32(c.partition), Epoch: assignment.Epoch(), Key: c.key, Token: tokenToProto(c.token),
				LeftMs: uint32(max(0, deadline.Sub(c.n.clock.Now()).Milliseconds())),
			})
			if err != nil {
				responses <- response{replica: i}
				return
			}
			responses <- response{i, idempotency.Verdict(resp.GetVerdict()), resp.GetAnswer()}
		})
	}
	verdicts := make([]idempotency.Verdict, len(replicas))
	for range replicas {
		resp := <-responses
		if resp.verdict > idempotency.Full {
			resp.verdict = idempotency.NoResponse
		}
		verdicts[resp.replica] = resp.verdict
		switch d := idempotency.Decide(len(replicas), verdicts); d {
		case idempotency.Run, idempotency.Replay:
			return d, resp.answer, verdicts
		default:
		}
	}
	return idempotency.Decide(len(replicas), verdicts), nil, verdicts
}

// Complete stores the call's answer for later attempts, in the background.
func (c *Claim) Complete(answer []byte) {
	c.end(&ledgerpb.EndRequest{Done: true, Answer: answer})
}

// Abandon releases the claim on a call that has not run and will not, in the
// background.
func (c *Claim) Abandon() { c.end(&ledgerpb.EndRequest{}) }

// end sends the claim's end to the replicas in the background, and repeats it until
// all have received it. A replica that misses it blocks the key for all other
// attempts, which get an unknown outcome.
func (c *Claim) end(req *ledgerpb.EndRequest) {
	req.Row, req.Key, req.Token = uint32(c.partition), c.key, tokenToProto(c.token)
	c.n.background.Go(func() {
		ctx, cancel := c.n.clock.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		for attempts := 1; ; {
			assignment := c.n.assignment(c.partition)
			epoch, all := c.notifyEnd(ctx, assignment.Replicas(), req)
			switch {
			case epoch > assignment.Epoch():
			case all || attempts == endAttempts:
				return
			default:
				attempts++
			}
			if epoch > assignment.Epoch() {
				// The partition was handed over without this end.
				c.n.refresh(ctx)
			}
			if c.n.clock.Sleep(ctx, claimRetryDelay) != nil {
				return
			}
		}
	})
}

// notifyEnd sends the end to the given replicas. It returns the latest epoch in
// their responses, and whether all received the end.
func (c *Claim) notifyEnd(ctx context.Context, replicas []idempotency.Member, req *ledgerpb.EndRequest) (epoch uint64, all bool) {
	var failed atomic.Int32
	epochs := make([]uint64, len(replicas))
	var wg sync.WaitGroup
	for i, m := range replicas {
		wg.Go(func() {
			actx, cancel := c.n.clock.WithTimeout(ctx, replicaTimeout)
			defer cancel()
			resp, err := c.n.client(m.Peer()).End(actx, req)
			if err != nil {
				failed.Add(1)
				return
			}
			epochs[i] = resp.GetEpoch()
		})
	}
	wg.Wait()
	return slices.Max(append(epochs, 0)), failed.Load() == 0
}

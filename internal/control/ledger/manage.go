package ledger

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	"banyanlug.example/banyanlug/internal/control/ledger/ledgerpb"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/membership"
	"banyanlug.example/banyanlug/internal/policy/once"
)

const (
	// tableKey holds the table of all failure domains.
	tableKey = "once"
	// manageEvery is how often a reader compares the holders with the members:
	// a holder that is replaced a second late costs nothing while the two
	// others of its row live.
	manageEvery = 500 * time.Millisecond
	// readEvery is how often the table is read while it needs no change here;
	// a change made elsewhere is told to the holders.
	readEvery = 10 * time.Second
	// silentLooks is how many looks in a row must find a holder silent before
	// it is replaced; a hand-over costs more than a lost message.
	silentLooks = 6
	// movesPerLook bounds hand-overs that only spread the load: the rows of a
	// mesh that has just grown move within minutes, a few claims at a time.
	movesPerLook = 8
	// firstWait is how long the first table waits for more members than its
	// first reader knows, so that the first rows need no early hand-over.
	firstWait = 3 * time.Second
)

// manager keeps the table of holders while its node reads the store. Several
// may do so at once: the store takes one change at a time.
type manager struct {
	n      *Node
	began  time.Time
	silent map[string]int
	// table is what was read last, at looked.
	table  *ledgerpb.Table
	looked time.Time
}

func (m *manager) run(ctx context.Context, done chan<- error) {
	tick := m.n.clock.Subscribe(manageEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		if m.n.store != nil && m.n.mesh.Reads() {
			if err := m.manage(ctx); err != nil && ctx.Err() == nil {
				m.n.log.Emit(event.HoldersFailed, event.F("error", err))
			}
		}
		select {
		case <-ctx.Done():
		case <-tick.C():
		}
	}
	done <- ctx.Err()
}

// manage reads the table and replaces holders of the own failure domain.
func (m *manager) manage(ctx context.Context) error {
	if m.table != nil && m.n.clock.Since(m.looked) < readEvery && len(m.change(m.table).GetRows()) == 0 {
		return nil
	}
	actx, cancel := m.n.clock.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	t, revision, err := m.read(actx)
	if err != nil {
		return err
	}
	if err := m.n.take(t, true); err != nil {
		return err
	}
	if t = m.n.whole(); t.GetVersion() == 0 && len(m.living()) > 1 {
		// The store may have been restored without its table: a new one would
		// forget the claims that nodes hold by the old one.
		m.n.refresh(actx)
		t = m.n.whole()
	}
	m.table, m.looked = t, m.n.clock.Now()
	next := m.change(t)
	if len(next.GetRows()) == 0 || !m.prepared(actx, t, next) {
		return nil
	}
	b, err := proto.Marshal(merged(t, next))
	if err != nil {
		return &TableError{Err: err}
	}
	if _, err := m.n.store.CompareAndSwap(actx, tableKey, revision, b); err != nil {
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			// Another reader was first; the next look starts from its table.
			return nil
		}
		// If the write came through after all, the next look finds it.
		return err
	}
	m.n.log.Emit(event.HoldersChanged, event.F("rows", len(next.GetRows())), event.F("version", next.GetVersion()))
	if err := m.n.take(next, true); err != nil {
		return err
	}
	m.tell(ctx, next)
	return nil
}

func (m *manager) read(ctx context.Context) (*ledgerpb.Table, uint64, error) {
	v, err := m.n.store.Get(ctx, tableKey)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return &ledgerpb.Table{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	t := &ledgerpb.Table{}
	if err := proto.Unmarshal(v.Data(), t); err != nil {
		return nil, 0, &TableError{Err: err}
	}
	return t, v.Revision(), nil
}

// whole returns the table as the node knows it. A store that was restored from
// an older image has older rows, and an epoch must never be given twice.
func (n *Node) whole() *ledgerpb.Table {
	t := n.since(0)
	for _, r := range t.GetRows() {
		t.Version = max(t.Version, r.GetChanged())
	}
	if t == nil {
		return &ledgerpb.Table{}
	}
	return t
}

// change returns the rows that need other holders, at the next version.
func (m *manager) change(t *ledgerpb.Table) *ledgerpb.Table {
	living := m.living()
	next := &ledgerpb.Table{Version: t.GetVersion() + 1}
	if t.GetVersion() == 0 && len(living) < 3 && m.n.clock.Since(m.began) < firstWait {
		return next
	}
	own := m.n.mesh.Self().Domain()
	domains := map[string]string{}
	for _, r := range m.n.mesh.Records() {
		domains[r.Instance()] = r.Domain()
	}
	moves := 0
	have := make([]entry, once.Rows)
	for _, r := range t.GetRows() {
		if e, err := toEntry(r); err == nil {
			have[r.GetRow()] = e
		}
	}
	for i, e := range have {
		best := bestOf(i, living)
		home := homeOf(e.row, domains, best)
		members := prefer(i, best, living)
		if e.row.Epoch() > 0 && home != own || !once.Answerable(e.row, members) {
			continue
		}
		r, changed := once.Place(e.row, members)
		if !changed && moves < movesPerLook {
			if r, changed = once.Move(e.row, members); changed {
				moves++
			}
		}
		if changed {
			next.Rows = append(next.Rows, fromEntry(i, entry{r, next.GetVersion()}))
		}
	}
	return next
}

// living returns the members that may hold rows: those that drain hand over
// while they still answer.
func (m *manager) living() []membership.Record {
	silent := map[string]int{}
	var out []membership.Record
	for _, r := range m.n.mesh.Records() {
		switch r.State() {
		case membership.Starting, membership.Ready:
			out = append(out, r)
		case membership.Suspect:
			if silent[r.Instance()] = m.silent[r.Instance()] + 1; silent[r.Instance()] < silentLooks {
				out = append(out, r)
			}
		default:
		}
	}
	m.silent = silent
	return out
}

// homeOf returns the failure domain whose readers look after a row: that of its
// holders, or the best one for a row that has none yet.
func homeOf(r once.Row, domains map[string]string, best string) string {
	for _, h := range r.Holders() {
		if d, ok := domains[h.Instance()]; ok {
			return d
		}
	}
	return best
}

// bestOf returns the failure domain that a row should be in, so that rows
// spread over the domains.
func bestOf(row int, living []membership.Record) string {
	top, best := uint64(0), ""
	for _, r := range living {
		if s := score(row, r.Domain()); s >= top {
			top, best = s, r.Domain()
		}
	}
	return best
}

// prefer orders members: those of the home domain first, then by hash, so that
// rows spread over the members.
func prefer(row int, home string, living []membership.Record) []once.Member {
	sorted := slices.Clone(living)
	slices.SortFunc(sorted, func(a, b membership.Record) int {
		if (a.Domain() == home) != (b.Domain() == home) {
			if a.Domain() == home {
				return -1
			}
			return 1
		}
		return cmp.Compare(score(row, b.Instance()), score(row, a.Instance()))
	})
	out := make([]once.Member, len(sorted))
	for i, r := range sorted {
		out[i] = memberOf(r)
	}
	return out
}

func score(row int, name string) uint64 { return xxh3.HashString(fmt.Sprintf("%d %s", row, name)) }

func merged(t, next *ledgerpb.Table) *ledgerpb.Table {
	out := &ledgerpb.Table{Version: next.GetVersion(), Rows: slices.Clone(next.GetRows())}
	for _, r := range t.GetRows() {
		if !slices.ContainsFunc(next.GetRows(), func(o *ledgerpb.Row) bool { return o.GetRow() == r.GetRow() }) {
			out.Rows = append(out.Rows, r)
		}
	}
	return out
}

// prepared brings the rows as they are to their holders that stay. A holder
// that never heard of an epoch can't hand it over to the next one, and the row
// would be lost; so a holder that does not answer puts the change off.
func (m *manager) prepared(ctx context.Context, t, next *ledgerpb.Table) bool {
	before := &ledgerpb.Table{}
	stays := map[string]*ledgerpb.Member{}
	for _, r := range next.GetRows() {
		for _, h := range r.GetPrevious() {
			if slices.ContainsFunc(r.GetHolders(), func(o *ledgerpb.Member) bool { return proto.Equal(o, h) }) {
				stays[h.GetInstance()] = h
			}
		}
	}
	for _, r := range t.GetRows() {
		if slices.ContainsFunc(next.GetRows(), func(o *ledgerpb.Row) bool { return o.GetRow() == r.GetRow() }) {
			before.Rows = append(before.Rows, r)
		}
	}
	for _, h := range stays {
		if !m.push(ctx, h, before) {
			return false
		}
	}
	return true
}

// tell brings new rows to who holds or held them; others hear of them when
// they ask.
func (m *manager) tell(ctx context.Context, next *ledgerpb.Table) {
	to := map[string]*ledgerpb.Member{}
	for _, r := range next.GetRows() {
		for _, h := range slices.Concat(r.GetHolders(), r.GetPrevious()) {
			to[h.GetInstance()] = h
		}
	}
	for _, h := range to {
		m.n.working.Go(func() { m.push(ctx, h, next) })
	}
}

func (m *manager) push(ctx context.Context, h *ledgerpb.Member, t *ledgerpb.Table) bool {
	to, err := toMember(h)
	if err != nil {
		return false
	}
	actx, cancel := m.n.clock.WithTimeout(ctx, askTimeout)
	defer cancel()
	rows := &ledgerpb.Table{Rows: t.GetRows()}
	_, err = m.n.at(to.Peer()).Table(actx, &ledgerpb.TableRequest{Version: t.GetVersion(), News: rows})
	return err == nil
}

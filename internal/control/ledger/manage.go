package ledger

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	"banyanlug.example/banyanlug/internal/control/ledger/ledgerpb"
	"banyanlug.example/banyanlug/internal/control/platform"
	"banyanlug.example/banyanlug/internal/log/event"
	"banyanlug.example/banyanlug/internal/policy/idempotency"
	"banyanlug.example/banyanlug/internal/policy/membership"
)

const (
	// tableKey is the store's key of the table, which all failure domains share.
	tableKey = "once"
	// manageInterval is how often the replicas are compared with the members. A replica that
	// is replaced a second late costs nothing while the two others of its partition live.
	manageInterval = 500 * time.Millisecond
	// readInterval is how often the table is read if this node has no change to
	// make. Other nodes' changes are sent to the replicas.
	readInterval = 10 * time.Second
	// maxSuspectChecks is the number of consecutive checks that must find a member
	// suspect before it is replaced; a hand-over costs more than a lost message.
	maxSuspectChecks = 6
	// maxMovesPerChange bounds hand-overs that only balance the load, so that after
	// a mesh has grown few claims are affected at a time.
	maxMovesPerChange = 8
	// firstTableDelay is how long a manager with fewer than three members waits for
	// more before it makes the first table, which saves an early hand-over.
	firstTableDelay = 3 * time.Second
)

// manager maintains the table of replicas while its node reads the store. Several
// managers may run at once: the store's compare-and-swap orders their changes.
type manager struct {
	n             *Node
	started       time.Time
	suspectChecks map[string]int
	// table is the node's table after the last read of the store, at readAt.
	table  *ledgerpb.Table
	readAt time.Time
	// settledTable needs no change as long as the members are settledMembers.
	settledTable   *ledgerpb.Table
	settledMembers []knownMember
}

// knownMember is what a plan depends on of a member.
type knownMember struct {
	member    idempotency.Member
	domain    string
	candidate bool
}

func (m *manager) run(ctx context.Context, done chan<- error) {
	tick := m.n.clock.Subscribe(manageInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		if m.n.store != nil && m.n.mesh.ReadsStore() {
			if err := m.manage(ctx); err != nil && ctx.Err() == nil {
				m.n.log.Emit(event.ReplicaChangeFailed, event.F("error", err))
			}
		}
		select {
		case <-ctx.Done():
		case <-tick.C():
		}
	}
	done <- ctx.Err()
}

// manage reads the table and replaces replicas of partitions in its own failure
// domain.
func (m *manager) manage(ctx context.Context) error {
	if m.table != nil && m.n.clock.Since(m.readAt) < readInterval && len(m.plannedChanges(m.table).GetRows()) == 0 {
		return nil
	}
	actx, cancel := m.n.clock.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	t, revision, err := m.read(actx)
	if err != nil {
		return err
	}
	if err := m.n.adoptTable(t, true); err != nil {
		return err
	}
	if t = m.n.currentTable(); t.GetVersion() == 0 && len(m.candidates()) > 1 {
		// The store may have been restored without its table. A new table would lose
		// the claims granted under the one that nodes still have.
		m.n.refresh(actx)
		t = m.n.currentTable()
	}
	m.table, m.readAt = t, m.n.clock.Now()
	next := m.plannedChanges(t)
	if len(next.GetRows()) == 0 || !m.deliverCurrent(actx, t, next) {
		return nil
	}
	b, err := proto.Marshal(withChanges(t, next))
	if err != nil {
		return &TableError{Err: err}
	}
	if _, err := m.n.store.CompareAndSwap(actx, tableKey, revision, b); err != nil {
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			// Another node changed the table first; the next check starts from that.
			return nil
		}
		// The write may have succeeded; the next check reads the table again.
		return err
	}
	m.n.log.Emit(event.ReplicasChanged, event.F("rows", len(next.GetRows())), event.F("version", next.GetVersion()))
	if err := m.n.adoptTable(next, true); err != nil {
		return err
	}
	m.announce(ctx, next)
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

// currentTable returns the node's own table. It may be newer than the store's,
// which may have been restored from an older image: no epoch may be assigned twice.
func (n *Node) currentTable() *ledgerpb.Table {
	t := n.tableSince(0)
	for _, r := range t.GetRows() {
		t.Version = max(t.Version, r.GetChanged())
	}
	if t == nil {
		return &ledgerpb.Table{}
	}
	return t
}

// plannedChanges returns the partitions that need other replicas, with the next
// table version.
func (m *manager) plannedChanges(t *ledgerpb.Table) *ledgerpb.Table {
	live := m.candidates()
	next := &ledgerpb.Table{Version: t.GetVersion() + 1}
	if t.GetVersion() == 0 && len(live) < 3 && m.n.clock.Since(m.started) < firstTableDelay {
		return next
	}
	members := m.knownMembers(live)
	if t == m.settledTable && slices.Equal(members, m.settledMembers) {
		return next
	}
	own := m.n.mesh.Self().Domain()
	domains := map[string]string{}
	for _, k := range members {
		domains[k.member.Instance()] = k.domain
	}
	moves := 0
	current := make([]entry, idempotency.Partitions)
	for _, r := range t.GetRows() {
		if e, err := entryFromProto(r); err == nil {
			current[r.GetRow()] = e
		}
	}
	for partition, e := range current {
		preferred := preferredDomain(partition, live)
		home := homeDomain(e.assignment, domains, preferred)
		members := byPreference(partition, preferred, live)
		if e.assignment.Epoch() > 0 && home != own || !idempotency.CanHandOver(e.assignment, members) {
			continue
		}
		a, changed := idempotency.Repair(e.assignment, members)
		if !changed && moves < maxMovesPerChange {
			if a, changed = idempotency.Rebalance(e.assignment, members); changed {
				moves++
			}
		}
		if changed {
			next.Rows = append(next.Rows, entryToProto(partition, entry{a, next.GetVersion()}))
		}
	}
	if len(next.GetRows()) == 0 {
		m.settledTable, m.settledMembers = t, members
	}
	return next
}

// knownMembers returns all members in the order of their names.
func (m *manager) knownMembers(candidates []membership.Record) []knownMember {
	live := make(map[string]bool, len(candidates))
	for _, r := range candidates {
		live[r.Instance()] = true
	}
	records := m.n.mesh.Records()
	out := make([]knownMember, len(records))
	for i, r := range records {
		out[i] = knownMember{memberOf(r), r.Domain(), live[r.Instance()]}
	}
	slices.SortFunc(out, func(a, b knownMember) int { return cmp.Compare(a.member.Instance(), b.member.Instance()) })
	return out
}

// candidates returns the members that may be replicas. Draining members are not
// among them, so that they hand over while they still respond.
func (m *manager) candidates() []membership.Record {
	checks := map[string]int{}
	var out []membership.Record
	for _, r := range m.n.mesh.Records() {
		switch r.State() {
		case membership.Starting, membership.Ready:
			out = append(out, r)
		case membership.Suspect:
			if checks[r.Instance()] = m.suspectChecks[r.Instance()] + 1; checks[r.Instance()] < maxSuspectChecks {
				out = append(out, r)
			}
		default:
		}
	}
	m.suspectChecks = checks
	return out
}

// homeDomain returns the failure domain whose nodes manage a partition: that of its
// replicas, or the preferred one if it has none yet.
func homeDomain(a idempotency.Assignment, domains map[string]string, preferred string) string {
	for _, replica := range a.Replicas() {
		if d, ok := domains[replica.Instance()]; ok {
			return d
		}
	}
	return preferred
}

// preferredDomain returns the failure domain that a partition should be in, by
// rendezvous hashing.
func preferredDomain(partition int, live []membership.Record) string {
	top, best := uint64(0), ""
	for _, r := range live {
		if s := rendezvousWeight(partition, r.Domain()); s >= top {
			top, best = s, r.Domain()
		}
	}
	return best
}

// byPreference orders members: those of the preferred failure domain first, then by
// rendezvous hashing, so that partitions spread over the members.
func byPreference(partition int, preferred string, live []membership.Record) []idempotency.Member {
	type ranked struct {
		record membership.Record
		weight uint64
	}
	sorted := make([]ranked, len(live))
	for i, r := range live {
		sorted[i] = ranked{r, rendezvousWeight(partition, r.Instance())}
	}
	slices.SortFunc(sorted, func(a, b ranked) int {
		if inA := a.record.Domain() == preferred; inA != (b.record.Domain() == preferred) {
			if inA {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.weight, a.weight)
	})
	out := make([]idempotency.Member, len(sorted))
	for i, r := range sorted {
		out[i] = memberOf(r.record)
	}
	return out
}

func rendezvousWeight(partition int, name string) uint64 {
	var room [64]byte
	key := append(strconv.AppendInt(room[:0], int64(partition), 10), ' ')
	return xxh3.Hash(append(key, name...))
}

func withChanges(t, next *ledgerpb.Table) *ledgerpb.Table {
	out := &ledgerpb.Table{Version: next.GetVersion(), Rows: slices.Clone(next.GetRows())}
	for _, r := range t.GetRows() {
		if !slices.ContainsFunc(next.GetRows(), func(o *ledgerpb.Row) bool { return o.GetRow() == r.GetRow() }) {
			out.Rows = append(out.Rows, r)
		}
	}
	return out
}

// deliverCurrent sends the present assignments to the replicas that stay, and
// reports whether all received them. A replica that missed an epoch can't hand it
// over to the next one, and its records would be lost.
func (m *manager) deliverCurrent(ctx context.Context, t, next *ledgerpb.Table) bool {
	current := &ledgerpb.Table{}
	staying := map[string]*ledgerpb.Member{}
	for _, r := range next.GetRows() {
		for _, h := range r.GetPrevious() {
			if slices.ContainsFunc(r.GetHolders(), func(o *ledgerpb.Member) bool { return proto.Equal(o, h) }) {
				staying[h.GetInstance()] = h
			}
		}
	}
	for _, r := range t.GetRows() {
		if slices.ContainsFunc(next.GetRows(), func(o *ledgerpb.Row) bool { return o.GetRow() == r.GetRow() }) {
			current.Rows = append(current.Rows, r)
		}
	}
	for _, h := range staying {
		if !m.push(ctx, h, current) {
			return false
		}
	}
	return true
}

// announce sends changed assignments to their present and previous replicas. Other
// nodes fetch them.
func (m *manager) announce(ctx context.Context, next *ledgerpb.Table) {
	to := map[string]*ledgerpb.Member{}
	for _, r := range next.GetRows() {
		for _, h := range slices.Concat(r.GetHolders(), r.GetPrevious()) {
			to[h.GetInstance()] = h
		}
	}
	for _, h := range to {
		m.n.background.Go(func() { m.push(ctx, h, next) })
	}
}

func (m *manager) push(ctx context.Context, h *ledgerpb.Member, t *ledgerpb.Table) bool {
	to, err := memberFromProto(h)
	if err != nil {
		return false
	}
	actx, cancel := m.n.clock.WithTimeout(ctx, requestTimeout)
	defer cancel()
	rows := &ledgerpb.Table{Rows: t.GetRows()}
	_, err = m.n.client(to.Peer()).Table(actx, &ledgerpb.TableRequest{Version: t.GetVersion(), News: rows})
	return err == nil
}

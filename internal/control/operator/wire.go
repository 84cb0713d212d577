package operator

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"time"

	"banyanlug.example/banyanlug/internal/config/declaration"
	"banyanlug.example/banyanlug/internal/config/snapshot"
)

// The types below are the JSON forms of the API and of stored plans. Objects are
// encoded as declarations, so that one decoder with one set of checks reads them.
// Names of types that are decoded appear in the decoder's error messages.
type planText struct {
	ID       string            `json:"id,omitempty"`
	Operator string            `json:"operator"`
	Base     uint64            `json:"base"`
	Created  time.Time         `json:"created"`
	Expires  time.Time         `json:"expires,omitzero"`
	Items    []itemText        `json:"items"`
	Moves    []moveText        `json:"moves,omitempty"`
	Capacity []capacityText    `json:"capacity,omitempty"`
	Warnings []warningText     `json:"warnings,omitempty"`
	Reads    map[string]string `json:"reads"`
}

type itemText struct {
	Action Action          `json:"action"`
	Object string          `json:"object"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

type moveText struct {
	Route string `json:"route"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

type slotsText struct {
	Promised   int `json:"promised"`
	Unpromised int `json:"unpromised"`
	Paying     int `json:"paying"`
	Trial      int `json:"trial"`
}

type capacityText struct {
	Object string    `json:"object"`
	Before slotsText `json:"before"`
	After  slotsText `json:"after"`
}

type warningText struct {
	Object string `json:"object"`
	Text   string `json:"text"`
}

// MarshalJSON encodes the plan for the API and the store.
func (p *Plan) MarshalJSON() ([]byte, error) {
	t := planText{
		ID: p.id, Operator: p.operator, Base: p.base, Created: p.created, Expires: p.expires,
		Items: []itemText{}, Reads: map[string]string{},
	}
	for _, i := range p.items {
		item := itemText{Action: i.action, Object: i.key.String()}
		var err error
		if item.Before, err = encodeObject(i.before); err != nil {
			return nil, err
		}
		if item.After, err = encodeObject(i.after); err != nil {
			return nil, err
		}
		t.Items = append(t.Items, item)
	}
	for _, m := range p.effect.moves {
		t.Moves = append(t.Moves, moveText{m.route, m.from, m.to})
	}
	for _, c := range p.effect.capacity {
		t.Capacity = append(t.Capacity, capacityText{c.key.String(), slots(c.before), slots(c.after)})
	}
	for _, w := range p.effect.warnings {
		t.Warnings = append(t.Warnings, warningText{w.object.String(), w.text})
	}
	for k, d := range p.reads {
		t.Reads[k.String()] = d.String()
	}
	return json.Marshal(t)
}

func slots(c Capacity) slotsText {
	return slotsText{c.Promised(), c.Unpromised(), c.Paying(), c.Trial()}
}

// UnmarshalJSON decodes the form that MarshalJSON writes.
func (p *Plan) UnmarshalJSON(b []byte) error {
	var t planText
	if err := decodeStrict(b, &t); err != nil {
		return err
	}
	decoded := Plan{
		id: t.ID, operator: t.Operator, base: t.Base, created: t.Created, expires: t.Expires,
		reads: map[snapshot.Key]snapshot.Digest{},
	}
	var upserts []snapshot.Object
	var removes []snapshot.Key
	for _, it := range t.Items {
		item, err := it.item()
		if err != nil {
			return err
		}
		decoded.items = append(decoded.items, item)
		if item.after != nil {
			upserts = append(upserts, item.after)
		} else {
			removes = append(removes, item.key)
		}
	}
	decoded.change = snapshot.NewChange(upserts, removes)
	for text, digest := range t.Reads {
		k, err := snapshot.ParseKey(text)
		if err != nil {
			return err
		}
		d, err := hex.DecodeString(digest)
		if err != nil {
			return &snapshot.DecodeError{What: "digest", Err: err}
		}
		decoded.reads[k] = snapshot.DigestFrom(d)
	}
	var err error
	if decoded.effect, err = t.effect(); err != nil {
		return err
	}
	*p = decoded
	return nil
}

func (t itemText) item() (Item, error) {
	k, err := snapshot.ParseKey(t.Object)
	if err != nil {
		return Item{}, err
	}
	item := Item{action: t.Action, key: k}
	if item.before, err = decodeObject(t.Before); err != nil {
		return Item{}, err
	}
	if item.after, err = decodeObject(t.After); err != nil {
		return Item{}, err
	}
	return item, nil
}

func (t planText) effect() (Effect, error) {
	var e Effect
	for _, m := range t.Moves {
		e.moves = append(e.moves, Move{m.Route, m.From, m.To})
	}
	for _, c := range t.Capacity {
		k, err := snapshot.ParseKey(c.Object)
		if err != nil {
			return Effect{}, err
		}
		e.capacity = append(e.capacity, CapacityChange{
			k, Capacity{c.Before.Promised, c.Before.Unpromised}, Capacity{c.After.Promised, c.After.Unpromised},
		})
	}
	for _, w := range t.Warnings {
		k, err := snapshot.ParseKey(w.Object)
		if err != nil {
			return Effect{}, err
		}
		e.warnings = append(e.warnings, Warning{k, w.Text})
	}
	return e, nil
}

func encodeObject(o snapshot.Object) (json.RawMessage, error) {
	if o == nil {
		return nil, nil
	}
	return declaration.Encode([]snapshot.Object{o})
}

func decodeObject(b json.RawMessage) (snapshot.Object, error) {
	if len(b) == 0 {
		return nil, nil
	}
	set, err := declaration.Decode("object", b)
	if err != nil {
		return nil, err
	}
	if objects := set.Objects(); len(objects) == 1 {
		return objects[0], nil
	}
	return nil, &snapshot.DecodeError{What: "object"}
}

// statusText is the JSON form of PlanStatus.
type statusText struct {
	Plan    *Plan  `json:"plan"`
	State   State  `json:"state"`
	Version uint64 `json:"version,omitempty"`
}

// MarshalJSON encodes the plan with its state.
func (p PlanStatus) MarshalJSON() ([]byte, error) {
	return json.Marshal(statusText{p.plan, p.state, p.version})
}

// UnmarshalJSON decodes the form that MarshalJSON writes.
func (p *PlanStatus) UnmarshalJSON(b []byte) error {
	var t statusText
	if err := decodeStrict(b, &t); err != nil {
		return err
	}
	*p = PlanStatus{plan: t.Plan, state: t.State, version: t.Version}
	return nil
}

type recordText struct {
	Version  uint64    `json:"version"`
	Plan     string    `json:"plan"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Touches  []string  `json:"touches"`
}

// MarshalJSON encodes the version with its stamp.
func (r Record) MarshalJSON() ([]byte, error) {
	t := recordText{r.version, r.stamp.PlanID, r.stamp.Operator, r.stamp.At, []string{}}
	for _, k := range r.changedKeys {
		t.Touches = append(t.Touches, k.String())
	}
	return json.Marshal(t)
}

// UnmarshalJSON decodes the form that MarshalJSON writes.
func (r *Record) UnmarshalJSON(b []byte) error {
	var t recordText
	if err := decodeStrict(b, &t); err != nil {
		return err
	}
	decoded := Record{version: t.Version, stamp: snapshot.Stamp{PlanID: t.Plan, Operator: t.Operator, At: t.At}}
	for _, text := range t.Touches {
		k, err := snapshot.ParseKey(text)
		if err != nil {
			return err
		}
		decoded.changedKeys = append(decoded.changedKeys, k)
	}
	*r = decoded
	return nil
}

// decodeStrict decodes one JSON value and rejects unknown fields and trailing
// data.
func decodeStrict(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return &snapshot.DecodeError{What: "JSON", Err: err}
	}
	if d.More() {
		return &snapshot.DecodeError{What: "JSON"}
	}
	return nil
}

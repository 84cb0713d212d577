package snapshot

import "errors"

// Adopt returns a version from the objects and version number of a configuration source that
// has accepted it already. The bounds of declarations don't apply, since operators can no
// longer correct a value: refusing it would keep the version before in force. Contradictions
// are settled as Faults describes.
func Adopt(version uint64, objects []Object, faults ...error) *Snapshot {
	entries := make(map[Key]entry, len(objects))
	for _, o := range objects {
		if _, ok := entries[o.Key()]; ok {
			faults = append(faults, &OverlapError{First: o.Key(), Second: o.Key(), Claim: "one name"})
		}
		entries[o.Key()] = entry{object: o}
	}
	return adopt(version, entries, faults)
}

// Faults returns what is wrong with an adopted version. A service that does not exist has no
// targets; of two objects with one name the last counts; of two that claim the same API key or
// calls, the first by name.
func (s *Snapshot) Faults() []error { return s.faults }

func adopt(version uint64, objects map[Key]entry, faults []error) *Snapshot {
	found := newChecker(objects, true).all()
	for _, f := range found {
		settle(objects, f)
	}
	return &Snapshot{
		version: version, adopted: true, faults: append(faults, found...), objects: objects, lookup: newLookup(objects),
	}
}

// settle changes the objects so that a fault is gone.
func settle(objects map[Key]entry, fault error) {
	var (
		dangling *DanglingError
		overlap  *OverlapError
	)
	switch {
	case errors.As(fault, &dangling):
		switch dangling.To.Kind {
		case KindService:
			objects[dangling.To] = entry{object: NewService(dangling.To.Name)}
		case KindPool:
			objects[dangling.To] = entry{object: NewPool(dangling.To.Name, dangling.To.Name)}
		default:
			delete(objects, dangling.From)
		}
	case errors.As(fault, &overlap):
		second, ok := objects[overlap.Second].object.(Organisation)
		if !ok {
			delete(objects, overlap.Second)
			return
		}
		first, _ := objects[overlap.First].object.(Organisation)
		objects[overlap.Second] = entry{object: second.withoutKeys(first)}
	}
}

package declaration

import (
	"io"
	"io/fs"
	"path"
	"slices"
	"strings"
)

const extension = ".yaml"

// Bounds of a set of declarations.
const (
	// maxFileBytes holds some 5,000 routes; a larger file is a wrong one.
	maxFileBytes = 1 << 20
	// maxSetBytes bounds what check holds in memory.
	maxSetBytes = 16 << 20
	// maxFiles is a file for each of ten times the services designed for.
	maxFiles = 2_800
	// maxObjects is far above 280 services with their routes and customers,
	// and keeps a whole version within some tens of the store's values.
	maxObjects = 100_000
	// maxObjectBytes keeps one edit well under the store's value limit; the
	// largest valid object, an organisation with all its keys, has 1.2 KB.
	maxObjectBytes = 4 << 10
)

// Load reads every declaration in a folder and its subfolders. Either all of
// them are right, or it returns a LoadError with every fault and no set.
func Load(fsys fs.FS) (*Set, error) {
	l := &loader{fsys: fsys, set: newSet()}
	l.folder()
	if len(l.faults) == 0 && len(l.set.objects) == 0 {
		l.fault(&EmptyError{at{Place{file: "."}}})
	}
	l.faults = append(l.faults, l.set.check(len(l.faults) == 0)...)
	if len(l.faults) > 0 {
		slices.SortStableFunc(l.faults, func(a, b Fault) int { return comparePlaces(a.Place(), b.Place()) })
		return nil, &LoadError{Faults: l.faults}
	}
	return l.set, nil
}

type loader struct {
	fsys   fs.FS
	set    *Set
	faults []Fault
	files  int
	bytes  int
}

// fault records a fault of a file or folder, whose objects are then lost.
func (l *loader) fault(f Fault) {
	l.set.lost = true
	l.faults = append(l.faults, f)
}

func (l *loader) folder() {
	// WalkDir goes in lexical order, so that faults and first places are the
	// same on every machine.
	err := fs.WalkDir(l.fsys, ".", func(name string, d fs.DirEntry, err error) error {
		where := at{Place{file: name}}
		switch {
		case err != nil:
			l.fault(&FileError{where, err})
			return nil
		case name != "." && strings.HasPrefix(d.Name(), "."):
			// Version control and editors keep their own files so.
			if d.IsDir() {
				return fs.SkipDir
			}
		case d.IsDir():
		case path.Ext(name) == ".yml":
			l.fault(&ExtensionError{where})
		case path.Ext(name) == extension:
			return l.file(name)
		}
		return nil
	})
	if err != nil {
		l.fault(&FileError{at{Place{file: "."}}, err})
	}
}

// file reads one file; it ends the walk where going on would only use memory.
func (l *loader) file(name string) error {
	where := at{Place{file: name}}
	if l.files++; l.files > maxFiles {
		l.fault(&SizeError{where, "the folder", l.files, maxFiles, "files"})
		return fs.SkipAll
	}
	b, err := readAtMost(l.fsys, name, maxFileBytes+1)
	if err != nil {
		l.fault(&FileError{where, err})
		return nil
	}
	if len(b) > maxFileBytes {
		l.fault(&SizeError{where, "the file", len(b), maxFileBytes, "bytes"})
		return nil
	}
	if l.bytes += len(b); l.bytes > maxSetBytes {
		l.fault(&SizeError{where, "the folder", l.bytes, maxSetBytes, "bytes"})
		return fs.SkipAll
	}
	d := &decoder{file: name, set: l.set}
	d.sections(d.parse(b))
	l.faults = append(l.faults, d.faults...)
	if n := len(l.set.objects); n > maxObjects {
		l.fault(&SizeError{where, "the folder", n, maxObjects, "objects"})
		return fs.SkipAll
	}
	return nil
}

func readAtMost(fsys fs.FS, name string, n int64) ([]byte, error) {
	f, err := fsys.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, n))
}

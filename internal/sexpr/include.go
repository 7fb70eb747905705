package sexpr

import (
	"errors"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
)

// Bounds of inclusion. A few files that include one another many times over would else be read for ever.
const (
	MostDepth = 16  // files within one another
	MostFiles = 256 // read for one, each time counted
)

// ReadTree parses a file and puts in the place of each (include "path") the expressions of that file, whose
// path is relative to the file that names it. What is wrong with an included file is told with its own
// place; a file that is missing, or includes itself on some way, with the place of the include.
func ReadTree(path string) ([]*Node, error) {
	r := &includer{}
	return r.read(path, nil)
}

type includer struct{ files int }

// read parses a file that was reached through others.
func (r *includer) read(path string, through []string) ([]*Node, error) {
	r.files++
	nodes, err := ReadFile(path)
	if err != nil {
		return nil, err
	}
	return r.splice(nodes, append(slices.Clip(through), filepath.Clean(path)))
}

func (r *includer) splice(nodes []*Node, through []string) ([]*Node, error) {
	var out []*Node
	for _, n := range nodes {
		if n.Head() == "include" {
			more, err := r.include(n, through)
			if err != nil {
				return nil, err
			}
			out = append(out, more...)
			continue
		}
		if n.IsList() {
			inner, err := r.splice(n.List, through)
			if err != nil {
				return nil, err
			}
			if inner == nil {
				inner = []*Node{} // a list that included an empty file is still a list
			}
			n.List = inner
		}
		out = append(out, n)
	}
	return out, nil
}

func (r *includer) include(n *Node, through []string) ([]*Node, error) {
	if len(n.List) != 2 || n.List[1].IsList() || n.List[1].Text == "" {
		return nil, Errorf(n.Pos, `(include …) wants one path, as (include "site.lisp")`)
	}
	here := through[len(through)-1]
	path := n.List[1].Text
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(here), path)
	}
	path = filepath.Clean(path)
	switch {
	case slices.Contains(through, path):
		from := slices.Index(through, path)
		return nil, Errorf(n.Pos, "%s includes itself: %s", path,
			strings.Join(append(slices.Clone(through[from:]), path), " -> "))
	case len(through) >= MostDepth:
		return nil, Errorf(n.Pos, "files are included more than %d deep", MostDepth)
	case r.files >= MostFiles:
		return nil, Errorf(n.Pos, "more than %d files are included", MostFiles)
	}
	more, err := r.read(path, through)
	if missing := (*fs.PathError)(nil); errors.As(err, &missing) {
		return nil, Errorf(n.Pos, "%v", err)
	}
	return more, err
}

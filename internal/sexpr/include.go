package sexpr

import (
	"errors"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
)

// Bounds of inclusion: without them, a few files that include one another many times would take for ever to
// read.
const (
	MaxIncludeDepth = 16  // files within one another
	MaxIncludeFiles = 256 // read in all, each time counted
)

// includeHead is the head of the form that a file's expressions replace.
const includeHead = "include"

// ReadTree parses a file and replaces each (include "path") by the expressions of that file. A path is
// relative to the file that names it. An error in an included file has its place there; a file that is
// missing or that includes itself, directly or through others, is an error at the place of the include.
func ReadTree(path string) ([]*Node, error) {
	reader := &treeReader{}
	return reader.read(path, nil)
}

// treeReader reads a file with all that it includes.
type treeReader struct{ files int }

// read parses a file that was reached through the files of a chain, the outermost first.
func (r *treeReader) read(path string, chain []string) ([]*Node, error) {
	r.files++
	nodes, err := ReadFile(path)
	if err != nil {
		return nil, err
	}
	return r.splice(nodes, append(slices.Clip(chain), filepath.Clean(path)))
}

// splice returns the nodes with the includes among them and below them replaced. The chain ends with the file
// of the nodes.
func (r *treeReader) splice(nodes []*Node, chain []string) ([]*Node, error) {
	var spliced []*Node
	for _, node := range nodes {
		if node.Head() == includeHead {
			included, err := r.include(node, chain)
			if err != nil {
				return nil, err
			}
			spliced = append(spliced, included...)
			continue
		}
		if node.IsList() {
			elements, err := r.splice(node.List, chain)
			if err != nil {
				return nil, err
			}
			if elements == nil {
				elements = []*Node{} // a list that included an empty file is still a list
			}
			node.List = elements
		}
		spliced = append(spliced, node)
	}
	return spliced, nil
}

// include reads the file that an (include "path") names.
func (r *treeReader) include(node *Node, chain []string) ([]*Node, error) {
	if len(node.List) != 2 || node.List[1].IsList() || node.List[1].Text == "" {
		return nil, Errorf(node.Pos, `(include …) wants one path, as (include "site.lisp")`)
	}
	path := resolvePath(node.List[1].Text, chain[len(chain)-1])
	if err := r.checkBounds(node, path, chain); err != nil {
		return nil, err
	}
	included, err := r.read(path, chain)
	if missing := (*fs.PathError)(nil); errors.As(err, &missing) {
		return nil, Errorf(node.Pos, "%v", err)
	}
	return included, err
}

// resolvePath returns a path that is relative to the folder of a file.
func resolvePath(path, file string) string {
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(file), path)
	}
	return filepath.Clean(path)
}

// checkBounds reports an include that would not end or that exceeds the bounds.
func (r *treeReader) checkBounds(node *Node, path string, chain []string) error {
	switch first := slices.Index(chain, path); {
	case first >= 0:
		cycle := append(slices.Clone(chain[first:]), path)
		return Errorf(node.Pos, "%s includes itself: %s", path, strings.Join(cycle, " -> "))
	case len(chain) >= MaxIncludeDepth:
		return Errorf(node.Pos, "files are included more than %d deep", MaxIncludeDepth)
	case r.files >= MaxIncludeFiles:
		return Errorf(node.Pos, "more than %d files are included", MaxIncludeFiles)
	}
	return nil
}

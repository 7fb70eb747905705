package sexpr

import (
	"errors"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
)

// Limits on includes: without them, a chain of small files, each of which includes the next one twice, would
// double the number of files to read with each level.
const (
	MaxIncludeDepth = 16  // nested files, including the outermost
	MaxIncludeFiles = 256 // files read in total, a file counted each time that it is read
)

// includeHead is the head of the form that is replaced with the expressions of a file.
const includeHead = "include"

// ReadTree parses a file and replaces each (include "path") with the expressions of that file. A path is
// relative to the file that contains the include. An error in an included file has its position in that file;
// a file that is missing or that includes itself, directly or through others, is an error at the position of
// the include.
func ReadTree(path string) ([]*Node, error) {
	reader := &treeReader{}
	return reader.read(path, nil)
}

// treeReader reads a file and all files that it includes; files is the number of files read so far.
type treeReader struct{ files int }

// read parses a file and replaces its includes. The chain contains the files through which it is included,
// the outermost first.
func (r *treeReader) read(path string, chain []string) ([]*Node, error) {
	r.files++
	nodes, err := ReadFile(path)
	if err != nil {
		return nil, err
	}
	return r.splice(nodes, append(slices.Clip(chain), filepath.Clean(path)))
}

// splice replaces the includes among the nodes and their descendants, and returns the nodes. The last file of
// the chain is the one that contains the nodes.
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

// include reads the file that an (include "path") specifies.
func (r *treeReader) include(node *Node, chain []string) ([]*Node, error) {
	if len(node.List) != 2 || node.List[1].IsList() || node.List[1].Text == "" {
		return nil, Errorf(node.Pos, `(include …) requires one path, such as (include "site.lisp")`)
	}
	path := resolvePath(node.List[1].Text, chain[len(chain)-1])
	if err := r.checkInclude(node, path, chain); err != nil {
		return nil, err
	}
	included, err := r.read(path, chain)
	if pathError := (*fs.PathError)(nil); errors.As(err, &pathError) {
		return nil, Errorf(node.Pos, "%v", err)
	}
	return included, err
}

// resolvePath resolves a path relative to the folder of a file.
func resolvePath(path, file string) string {
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(file), path)
	}
	return filepath.Clean(path)
}

// checkInclude returns an error for an include that is part of a cycle or exceeds the limits.
func (r *treeReader) checkInclude(node *Node, path string, chain []string) error {
	switch first := slices.Index(chain, path); {
	case first >= 0:
		cycle := append(slices.Clone(chain[first:]), path)
		return Errorf(node.Pos, "%s includes itself: %s", path, strings.Join(cycle, " -> "))
	case len(chain) >= MaxIncludeDepth:
		return Errorf(node.Pos, "includes are nested more than %d deep", MaxIncludeDepth)
	case r.files >= MaxIncludeFiles:
		return Errorf(node.Pos, "more than %d files are included", MaxIncludeFiles)
	}
	return nil
}

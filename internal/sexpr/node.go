package sexpr

import (
	"fmt"
	"strconv"
	"strings"
)

// Pos is a position in a file; lines and columns start at 1.
type Pos struct {
	File      string
	Line, Col int
}

// String returns the position as file:line:col.
func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col) }

// startOf returns the first position in a file.
func startOf(file string) Pos { return Pos{File: file, Line: 1, Col: 1} }

// Node is an atom, a string or a list.
type Node struct {
	Pos    Pos
	Text   string  // of an atom or a string, unquoted
	Quoted bool    // a string, written with quotes
	List   []*Node // elements of a list, not nil even if there are none; nil otherwise
}

// IsList reports whether the node is a list.
func (n *Node) IsList() bool { return n.List != nil }

// Head returns the first element of a list if that is an atom; otherwise "".
func (n *Node) Head() string {
	if len(n.List) == 0 || n.List[0].IsList() || n.List[0].Quoted {
		return ""
	}
	return n.List[0].Text
}

// String returns the node in canonical form: one space between elements, quotes around strings that were
// written with them and around other texts that require them.
func (n *Node) String() string {
	if !n.IsList() {
		return quote(n.Text, n.Quoted)
	}
	elements := make([]string, len(n.List))
	for i, element := range n.List {
		elements[i] = element.String()
	}
	return "(" + strings.Join(elements, " ") + ")"
}

// quote returns a text as an atom, or as a quoted string if force is set or the text is not a valid atom.
func quote(text string, force bool) string {
	if force || text == "" || strings.ContainsAny(text, " \t\r\n\v\f()\";\\") || !strconv.CanBackquote(text) {
		return strconv.Quote(text)
	}
	return text
}

// maxBriefLength is the length in bytes to which error messages truncate an atom or a string.
const maxBriefLength = 40

// brief returns a short form of a node for error messages.
func brief(node *Node) string {
	if node.IsList() {
		if head := node.Head(); head != "" {
			return "(" + head + " …)"
		}
		return "a list without a name"
	}
	text := node.String()
	if len(text) > maxBriefLength {
		text = text[:maxBriefLength] + "…"
	}
	return text
}

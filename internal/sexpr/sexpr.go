// Package sexpr reads, checks and prints S-expressions: the form of settings, days, expectations and
// problems. Every error names file:line:col, what was found and what would do.
package sexpr

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Bounds of what is read from outside.
const (
	MaxBytes = 4 << 20 // of one file
	MaxDepth = 64      // of lists within lists
)

// Pos is a place in a file; lines and columns count from 1.
type Pos struct {
	File      string
	Line, Col int
}

func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col) }

// Node is an atom, a string or a list.
type Node struct {
	Pos    Pos
	Text   string // of an atom or a string, unquoted
	Quoted bool
	List   []*Node // of a list; never nil there
}

// IsList tells whether the node is a list.
func (n *Node) IsList() bool { return n.List != nil }

// Head is the first atom of a list, "" where there is none.
func (n *Node) Head() string {
	if len(n.List) == 0 || n.List[0].IsList() || n.List[0].Quoted {
		return ""
	}
	return n.List[0].Text
}

// Error is a fault at a place of the input.
type Error struct {
	Pos  Pos
	Text string
}

func (e *Error) Error() string { return e.Pos.String() + ": " + e.Text }

// Errorf makes an Error at a place.
func Errorf(pos Pos, format string, args ...any) error {
	return &Error{Pos: pos, Text: fmt.Sprintf(format, args...)}
}

// At puts a place to an error that has none.
func WrapError(pos Pos, err error) error {
	var placed *Error
	if err == nil || errors.As(err, &placed) {
		return err
	}
	return &Error{Pos: pos, Text: err.Error()}
}

// The grammar. A file is a row of terms; a comment runs from ; to the line's end.
var (
	symbols = lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `;[^\n]*`},
		{Name: "Space", Pattern: `\s+`},
		{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
		{Name: "Open", Pattern: `\(`},
		{Name: "Close", Pattern: `\)`},
		{Name: "Atom", Pattern: `[^\s()";]+`},
	})
	grammar = participle.MustBuild[file](participle.Lexer(symbols), participle.Elide("Comment", "Space"))
)

type file struct {
	Terms []*term `parser:"@@*"`
}

type term struct {
	Pos  lexer.Position
	Atom *string `parser:"  @(Atom|String)"`
	List *list   `parser:"| @@"`
}

type list struct {
	Open  string  `parser:"@Open"`
	Terms []*term `parser:"@@*"`
	Close string  `parser:"@Close"`
}

// ReadFile parses a file.
func ReadFile(path string) ([]*Node, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", path, err)
	}
	return Parse(path, data)
}

// Parse reads all expressions of a text; name stands for the file in places.
func Parse(name string, data []byte) ([]*Node, error) {
	if len(data) > MaxBytes {
		return nil, Errorf(Pos{name, 1, 1}, "more than %d bytes", MaxBytes)
	}
	if err := checkDepth(name, data); err != nil {
		return nil, err
	}
	parsed, err := grammar.ParseBytes(name, data)
	if err != nil {
		var placed participle.Error
		if errors.As(err, &placed) {
			return nil, Errorf(place(name, placed.Position()), "%s", placed.Message())
		}
		return nil, Errorf(Pos{name, 1, 1}, "%v", err)
	}
	return convert(name, parsed.Terms)
}

// checkDepth holds the nesting down before the parser recurses, and finds parentheses without a partner,
// whose place a reader wants to know.
func checkDepth(name string, data []byte) error {
	lex, err := symbols.LexString(name, string(data))
	if err != nil {
		return WrapError(Pos{name, 1, 1}, err)
	}
	names := symbols.Symbols()
	var open []lexer.Position
	for {
		tok, err := lex.Next()
		if err != nil {
			var placed participle.Error
			if errors.As(err, &placed) {
				return Errorf(place(name, placed.Position()), "%s", placed.Message())
			}
			return WrapError(Pos{name, 1, 1}, err)
		}
		switch tok.Type {
		case lexer.EOF:
			if len(open) > 0 {
				return Errorf(place(name, open[len(open)-1]), "this ( is never closed")
			}
			return nil
		case names["Open"]:
			open = append(open, tok.Pos)
			if len(open) > MaxDepth {
				return Errorf(place(name, tok.Pos), "lists are nested more than %d deep", MaxDepth)
			}
		case names["Close"]:
			if len(open) == 0 {
				return Errorf(place(name, tok.Pos), "a ) without its (")
			}
			open = open[:len(open)-1]
		}
	}
}

func place(name string, p lexer.Position) Pos { return Pos{name, max(p.Line, 1), max(p.Column, 1)} }

func convert(name string, terms []*term) ([]*Node, error) {
	out := make([]*Node, 0, len(terms))
	for _, t := range terms {
		n := &Node{Pos: place(name, t.Pos)}
		switch {
		case t.List != nil:
			sub, err := convert(name, t.List.Terms)
			if err != nil {
				return nil, err
			}
			n.List = sub
		case strings.HasPrefix(*t.Atom, `"`):
			text, err := strconv.Unquote(*t.Atom)
			if err != nil {
				return nil, Errorf(n.Pos, "bad string %s", *t.Atom)
			}
			n.Text, n.Quoted = text, true
		default:
			n.Text = *t.Atom
		}
		out = append(out, n)
	}
	return out, nil
}

// String prints a node in canonical form: one space between terms, strings quoted only where they must be.
func (n *Node) String() string {
	if !n.IsList() {
		return quote(n.Text, n.Quoted)
	}
	parts := make([]string, len(n.List))
	for i, t := range n.List {
		parts[i] = t.String()
	}
	return "(" + strings.Join(parts, " ") + ")"
}

func quote(text string, must bool) string {
	if must || text == "" || strings.ContainsAny(text, " \t\r\n\v\f()\";\\") || !strconv.CanBackquote(text) {
		return strconv.Quote(text)
	}
	return text
}

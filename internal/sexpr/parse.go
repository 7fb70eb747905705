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

// Tokens that checkNesting follows.
const (
	tokenOpen  = "Open"
	tokenClose = "Close"
)

// The grammar. A file is a sequence of terms; a comment runs from ; to the line's end.
var (
	symbols = lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `;[^\n]*`},
		{Name: "Space", Pattern: `\s+`},
		{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
		{Name: tokenOpen, Pattern: `\(`},
		{Name: tokenClose, Pattern: `\)`},
		{Name: "Atom", Pattern: `[^\s()";]+`},
	})
	grammar = participle.MustBuild[fileSyntax](
		participle.Lexer(symbols),
		participle.Elide("Comment", "Space"),
	)
)

type fileSyntax struct {
	Terms []*termSyntax `parser:"@@*"`
}

type termSyntax struct {
	Pos  lexer.Position
	Atom *string     `parser:"  @(Atom|String)"`
	List *listSyntax `parser:"| @@"`
}

type listSyntax struct {
	Open  string        `parser:"@Open"`
	Terms []*termSyntax `parser:"@@*"`
	Close string        `parser:"@Close"`
}

// ReadFile parses a file. A file that cannot be opened gives an *fs.PathError, an error in its text an
// *Error.
func ReadFile(path string) ([]*Node, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", path, err)
	}
	return Parse(path, data)
}

// Parse reads all expressions of a text; name stands for the file in places. Its errors are of type *Error.
func Parse(name string, data []byte) ([]*Node, error) {
	if len(data) > MaxBytes {
		return nil, Errorf(startOf(name), "more than %d bytes", MaxBytes)
	}
	if err := checkNesting(name, data); err != nil {
		return nil, err
	}
	parsed, err := grammar.ParseBytes(name, data)
	if err != nil {
		return nil, syntaxError(name, err)
	}
	return convertTerms(name, parsed.Terms)
}

// syntaxError converts an error of the lexer or the parser.
func syntaxError(name string, err error) error {
	var placed participle.Error
	if errors.As(err, &placed) {
		return Errorf(posOf(name, placed.Position()), "%s", placed.Message())
	}
	return WrapError(startOf(name), err)
}

// posOf converts a place; the lexer leaves it zero where it knows none.
func posOf(name string, position lexer.Position) Pos {
	return Pos{File: name, Line: max(position.Line, 1), Col: max(position.Column, 1)}
}

// checkNesting bounds the nesting before the parser recurses, and finds parentheses without a partner, whose
// place the parser would not report.
func checkNesting(name string, data []byte) error {
	tokens, err := symbols.LexString(name, string(data))
	if err != nil {
		return WrapError(startOf(name), err)
	}
	types := symbols.Symbols()
	var open []lexer.Position
	for {
		token, err := tokens.Next()
		if err != nil {
			return syntaxError(name, err)
		}
		switch token.Type {
		case lexer.EOF:
			if len(open) > 0 {
				return Errorf(posOf(name, open[len(open)-1]), "this ( is never closed")
			}
			return nil
		case types[tokenOpen]:
			open = append(open, token.Pos)
			if len(open) > MaxDepth {
				return Errorf(posOf(name, token.Pos), "lists are nested more than %d deep", MaxDepth)
			}
		case types[tokenClose]:
			if len(open) == 0 {
				return Errorf(posOf(name, token.Pos), "a ) without its (")
			}
			open = open[:len(open)-1]
		}
	}
}

func convertTerms(name string, terms []*termSyntax) ([]*Node, error) {
	nodes := make([]*Node, 0, len(terms))
	for _, term := range terms {
		node, err := convertTerm(name, term)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, node)
	}
	return nodes, nil
}

func convertTerm(name string, term *termSyntax) (node *Node, err error) {
	node = &Node{Pos: posOf(name, term.Pos)}
	switch {
	case term.List != nil:
		node.List, err = convertTerms(name, term.List.Terms)
		if err != nil {
			return nil, err
		}
	case strings.HasPrefix(*term.Atom, `"`):
		node.Text, err = strconv.Unquote(*term.Atom)
		if err != nil {
			return nil, Errorf(node.Pos, "bad string %s", *term.Atom)
		}
		node.Quoted = true
	default:
		node.Text = *term.Atom
	}
	return node, nil
}

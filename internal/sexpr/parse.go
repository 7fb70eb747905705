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

// Limits on the input.
const (
	MaxBytes = 4 << 20 // of one file
	MaxDepth = 64      // of nested lists
)

// Names of the tokens by which checkNesting tracks the nesting depth.
const (
	tokenOpen  = "Open"
	tokenClose = "Close"
)

// The grammar. A file is a sequence of terms; a comment extends from ; to the end of the line.
var (
	lexerDefinition = lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `;[^\n]*`},
		{Name: "Space", Pattern: `\s+`},
		{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
		{Name: tokenOpen, Pattern: `\(`},
		{Name: tokenClose, Pattern: `\)`},
		{Name: "Atom", Pattern: `[^\s()";]+`},
	})
	grammar = participle.MustBuild[fileSyntax](
		participle.Lexer(lexerDefinition),
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

// ReadFile parses a file. The error is an *fs.PathError if the file cannot be opened, and an *Error if its
// text is invalid.
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

// Parse parses all expressions of a text; name is the file name in positions. Its errors are of type *Error.
func Parse(name string, data []byte) ([]*Node, error) {
	if len(data) > MaxBytes {
		return nil, Errorf(startOf(name), "the file is larger than %d bytes", MaxBytes)
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

// syntaxError converts an error of the lexer or the parser into an *Error.
func syntaxError(name string, err error) error {
	var positioned participle.Error
	if errors.As(err, &positioned) {
		return Errorf(posOf(name, positioned.Position()), "%s", positioned.Message())
	}
	return WithPos(startOf(name), err)
}

// posOf converts a position of the lexer, which leaves line and column 0 if the position is unknown.
func posOf(name string, position lexer.Position) Pos {
	return Pos{File: name, Line: max(position.Line, 1), Col: max(position.Column, 1)}
}

// checkNesting limits the nesting depth before the parser recurses, and finds unmatched parentheses, whose
// position the parser would not report.
func checkNesting(name string, data []byte) error {
	tokens, err := lexerDefinition.LexString(name, string(data))
	if err != nil {
		return WithPos(startOf(name), err)
	}
	types := lexerDefinition.Symbols()
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
				return Errorf(posOf(name, token.Pos), "unmatched )")
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
			return nil, Errorf(node.Pos, "invalid string %s", *term.Atom)
		}
		node.Quoted = true
	default:
		node.Text = *term.Atom
	}
	return node, nil
}

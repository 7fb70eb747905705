package sexpr

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// drawNode draws a tree of nodes of at most the given depth.
func drawNode(t *rapid.T, depth int) *Node {
	if depth == 0 || !rapid.Bool().Draw(t, "list") {
		return &Node{Text: rapid.String().Draw(t, "text")}
	}
	list := &Node{List: []*Node{}}
	for range rapid.IntRange(0, 4).Draw(t, "length") {
		list.List = append(list.List, drawNode(t, depth-1))
	}
	return list
}

func TestNode_ParsesAsPrinted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawNode(t, 4).String()
		parsed, err := Parse("x", []byte(text))
		if err != nil {
			t.Fatalf("parsing %q: %v", text, err)
		}
		if len(parsed) != 1 || parsed[0].String() != text {
			t.Fatalf("%q parses as %v, want the same node", text, parsed)
		}
	})
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{"(a (b 1) \"x\\n\" ; c\n d)", "((((", "\"", "(outer (count 3) (row x))"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		nodes, err := Parse("f", data)
		if err != nil {
			if !strings.HasPrefix(err.Error(), "f:") {
				t.Fatalf("no position in %v", err)
			}
			return
		}
		var decoded testForm
		_ = DecodeOne(nodes, "f", "outer", &decoded) // must not panic
		for _, node := range nodes {
			if _, err := Parse("f", []byte(node.String())); err != nil {
				t.Fatalf("%q does not parse again: %v", node.String(), err)
			}
		}
	})
}

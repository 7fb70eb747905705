package sexpr

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

type inner struct {
	Name string        `s:",arg"`
	Wait time.Duration `s:"wait" min:"1ms" max:"1h"`
}

type outer struct {
	Count int      `s:"count,required" min:"1" max:"10"`
	Ratio float64  `s:"ratio"`
	On    bool     `s:"on"`
	Room  Size     `s:"room"`
	Words []string `s:"words"`
	Rows  []inner  `s:"row"`
	One   *inner   `s:"one"`
}

func decode(text string) (outer, error) {
	var o outer
	nodes, err := Parse("x.lisp", []byte(text))
	if err == nil {
		err = DecodeOne(nodes, "x.lisp", "outer", &o)
	}
	return o, err
}

func TestDecode(t *testing.T) {
	o, err := decode(`; a comment
(outer (count 3) (ratio 0.5) (on) (room 64KiB)
  (words a "b c") (row x (wait 5ms)) (row y) (one z (wait 1s)))`)
	if err != nil {
		t.Fatal(err)
	}
	if o.Count != 3 || o.Ratio != 0.5 || !o.On || o.Room != 64<<10 || len(o.Words) != 2 ||
		o.Words[1] != "b c" || len(o.Rows) != 2 || o.Rows[0].Wait != 5*time.Millisecond ||
		o.One.Wait != time.Second {
		t.Errorf("got %+v", o)
	}
	again, err := decode(Print("outer", o))
	if err != nil || Print("outer", again) != Print("outer", o) {
		t.Errorf("what is printed does not read back: %v\n%s", err, Print("outer", o))
	}
}

// Every fault of an input has one error, with its place and what would do.
func TestErrorsNameThePlace(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{``, "x.lisp:1:1: nothing here"},
		{"(outer\n  (count 1)", "x.lisp:1:1: this ( is never closed"},
		{"(outer (count 1)))", "x.lisp:1:18: a ) without its ("},
		{"(other)", "x.lisp:1:1: found (other …); want (outer …)"},
		{"(outer (count 1))\n(outer (count 1))", "x.lisp:2:1: found (outer …) after the one"},
		{"(outer (count 1) (count 2))", "x.lisp:1:18: (count …) stands twice"},
		{"(outer (count 1)\n (cuont 2))", "x.lisp:2:2: (outer …) has no (cuont …); it knows count"},
		{"(outer)", "x.lisp:1:1: (outer …) lacks its (count …)"},
		{"(outer (count x))", `x.lisp:1:15: "x" is no whole number`},
		{"(outer (count 11))", "x.lisp:1:15: found 11; want 1 to 10"},
		{"(outer (count 1) (on maybe))", `x.lisp:1:22: found "maybe"; want yes or no`},
		{"(outer (count 1) (room 5))", `x.lisp:1:24: "5" is no size`},
		{"(outer (count 1) (row))", "x.lisp:1:18: (row …) lacks its Name"},
		{"(outer (count 1) (row a (wait 5)))", `x.lisp:1:31: "5" is no time`},
		{"(outer (count 1) (row a (wait 2h)))", "x.lisp:1:31: found 2h; want 1ms to 1h"},
		{`(outer "unfinished`, "x.lisp:1:8:"},
		{"(outer (count 1 2))", "x.lisp:1:8: (count …) has 2 values; want one"},
		{strings.Repeat("(", 100), "x.lisp:1:65: lists are nested more than 64 deep"},
	} {
		_, err := decode(c.text)
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%q:\n got %v\nwant %s", c.text, err, c.want)
		}
	}
}

// Any tree of nodes that is printed reads back as the same tree.
func TestPrintedNodesReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tree func(depth int) *Node
		tree = func(depth int) *Node {
			if depth > 0 && rapid.Bool().Draw(t, "list") {
				n := &Node{List: []*Node{}}
				for range rapid.IntRange(0, 4).Draw(t, "length") {
					n.List = append(n.List, tree(depth-1))
				}
				return n
			}
			return &Node{Text: rapid.String().Draw(t, "text")}
		}
		n := tree(4)
		text := n.String()
		back, err := Parse("x", []byte(text))
		if err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		if len(back) != 1 || back[0].String() != text {
			t.Fatalf("%q reads as %v", text, back)
		}
	})
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{"(a (b 1) \"x\\n\" ; c\n d)", "((((", "\"", "(outer (count 3) (row x))"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		nodes, err := Parse("f", data)
		if err != nil {
			if !strings.HasPrefix(err.Error(), "f:") {
				t.Fatalf("no place in %v", err)
			}
			return
		}
		var o outer
		_ = DecodeOne(nodes, "f", "outer", &o) // must not panic
		for _, n := range nodes {
			if _, err := Parse("f", []byte(n.String())); err != nil {
				t.Fatalf("%q does not read back: %v", n.String(), err)
			}
		}
	})
}

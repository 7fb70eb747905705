package sexpr

import (
	"strings"
	"testing"
	"time"
)

type testRow struct {
	Name string        `s:",arg"`
	Wait time.Duration `s:"wait" min:"1ms" max:"1h"`
}

// testForm has required, bounded, optional and repeated fields, and scalars of several types.
type testForm struct {
	Count int       `s:"count,required" min:"1" max:"10"`
	Ratio float64   `s:"ratio"`
	On    bool      `s:"on"`
	Room  Size      `s:"room"`
	Words []string  `s:"words"`
	Rows  []testRow `s:"row"`
	One   *testRow  `s:"one"`
}

// decodeText decodes a text that must contain one (outer …).
func decodeText(text string) (testForm, error) {
	var decoded testForm
	nodes, err := Parse("x.lisp", []byte(text))
	if err == nil {
		err = DecodeOne(nodes, "x.lisp", "outer", &decoded)
	}
	return decoded, err
}

func TestDecode_FillsFieldsAndReadsBack(t *testing.T) {
	decoded, err := decodeText(`; a comment
(outer (count 3) (ratio 0.5) (on) (room 64KiB)
  (words a "b c") (row x (wait 5ms)) (row y) (one z (wait 1s)))`)
	if err != nil {
		t.Fatal(err)
	}
	if decoded.Count != 3 || decoded.Ratio != 0.5 || !decoded.On || decoded.Room != 64<<10 ||
		len(decoded.Words) != 2 || decoded.Words[1] != "b c" ||
		len(decoded.Rows) != 2 || decoded.Rows[0].Wait != 5*time.Millisecond ||
		decoded.One.Wait != time.Second {
		t.Errorf("got %+v, want the values of the text", decoded)
	}
	printed := Print("outer", decoded)
	again, err := decodeText(printed)
	if err != nil || Print("outer", again) != printed {
		t.Errorf("the printed form must decode to the same value; got error %v, printed\n%s", err, printed)
	}
}

// An error has the position of the mistake and states what is valid there.
func TestDecode_ErrorsHaveAPosition(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"empty file", ``, "x.lisp:1:1: found no form; want one (outer …)"},
		{"list not closed", "(outer\n  (count 1)", "x.lisp:1:1: this ( is never closed"},
		{"parenthesis not opened", "(outer (count 1)))", "x.lisp:1:18: unmatched )"},
		{"other head", "(other)", "x.lisp:1:1: found (other …); want (outer …)"},
		{"second form", "(outer (count 1))\n(outer (count 1))",
			"x.lisp:2:1: found (outer …) after (outer …); want one form"},
		{"field twice", "(outer (count 1) (count 2))", "x.lisp:1:18: duplicate (count …) in (outer …)"},
		{"unknown field", "(outer (count 1)\n (cuont 2))",
			"x.lisp:2:2: (outer …) has no (cuont …); it accepts count"},
		{"required field missing", "(outer)", "x.lisp:1:1: (outer …) is missing (count …)"},
		{"not a number", "(outer (count x))", `x.lisp:1:15: "x" is not an integer of`},
		{"number out of range", "(outer (count 11))", "x.lisp:1:15: found 11; want 1 to 10"},
		{"not a boolean", "(outer (count 1) (on maybe))", `x.lisp:1:22: found "maybe"; want yes or no`},
		{"size without unit", "(outer (count 1) (room 5))", `x.lisp:1:24: "5" is not a size`},
		{"argument missing", "(outer (count 1) (row))", "x.lisp:1:18: (row …) is missing its Name"},
		{"duration without unit", "(outer (count 1) (row a (wait 5)))", `x.lisp:1:31: "5" is not a duration`},
		{"duration out of range", "(outer (count 1) (row a (wait 2h)))",
			"x.lisp:1:31: found 2h; want 1ms to 1h"},
		{"string not closed", `(outer "unfinished`, "x.lisp:1:8:"},
		{"two values", "(outer (count 1 2))", "x.lisp:1:8: (count …) has 2 values; want one"},
		{"nested too deep", strings.Repeat("(", 100),
			"x.lisp:1:65: lists are nested more than 64 deep"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := decodeText(test.text)
			if err == nil || !strings.HasPrefix(err.Error(), test.want) {
				t.Errorf("%q:\n got %v\nwant %s", test.text, err, test.want)
			}
		})
	}
}

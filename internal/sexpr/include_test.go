package sexpr

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// folder writes files and returns where they lie.
func folder(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// Included expressions stand where the include stood, paths are relative to the file that names them, and a
// file may be included twice beside itself.
func TestIncludesAreSpliced(t *testing.T) {
	dir := folder(t, map[string]string{
		"a.lisp": `(a 1 (include "sub/b.lisp") 2
			(c (include "sub/b.lisp")) (d (include "none.lisp")))`,
		"sub/b.lisp":  `x (include "../deep/c.lisp") y ; two terms and what c has`,
		"deep/c.lisp": `(z "include")`,
		"none.lisp":   `; nothing`,
	})
	nodes, err := ReadTree(filepath.Join(dir, "a.lisp"))
	if err != nil {
		t.Fatal(err)
	}
	got := ""
	for _, n := range nodes {
		got += n.String()
	}
	if want := `(a 1 x (z "include") y 2 (c x (z "include") y) (d))`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if p := nodes[0].List[2].Pos; filepath.Base(p.File) != "b.lisp" || p.Line != 1 || p.Col != 1 {
		t.Errorf("x stands at %v", p)
	}
}

// What is wrong is told with the place that must be changed.
func TestBadIncludes(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"itself":   {`(a (include "a.lisp"))`, "a.lisp:1:4: "},
		"a ring":   {"\n (include \"b.lisp\")", "c.lisp:1:1: "},
		"missing":  {`(include "nowhere.lisp")`, "a.lisp:1:1: "},
		"no path":  {`(include)`, "a.lisp:1:1: (include …) wants one path"},
		"a list":   {`(include (b))`, "a.lisp:1:1: (include …) wants one path"},
		"two":      {`(include "b.lisp" "c.lisp")`, "a.lisp:1:1: (include …) wants one path"},
		"bad file": {`(include "bad.lisp")`, "bad.lisp:2:2: "},
		"a bomb":   {`(include "bomb-0.lisp")`, "more than 256 files"},
		"too deep": {`(include "deep-0.lisp")`, "more than 16 deep"},
	} {
		files := map[string]string{"a.lisp": c.text, "b.lisp": `(b (include "c.lisp"))`,
			"c.lisp": `(include "a.lisp")`, "bad.lisp": "(x\n))"}
		for i := range 12 {
			next := fmt.Sprintf(`(include "bomb-%d.lisp")`, i+1)
			files[fmt.Sprintf("bomb-%d.lisp", i)] = next + next
		}
		files["bomb-12.lisp"] = "x"
		for i := range 20 {
			files[fmt.Sprintf("deep-%d.lisp", i)] = fmt.Sprintf(`(include "deep-%d.lisp")`, i+1)
		}
		dir := folder(t, files)
		_, err := ReadTree(filepath.Join(dir, "a.lisp"))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v; want %q", name, err, c.want)
		}
	}
}

package sexpr

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeFiles writes files, keyed by relative path, to a temporary folder and returns its path.
func writeFiles(t *testing.T, files map[string]string) string {
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

// Included expressions replace the include, paths are relative to the file that contains the include, and a
// file may be included twice if neither include is within the other.
func TestReadTree_SplicesIncludes(t *testing.T) {
	dir := writeFiles(t, map[string]string{
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
	for _, node := range nodes {
		got += node.String()
	}
	if want := `(a 1 x (z "include") y 2 (c x (z "include") y) (d))`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if pos := nodes[0].List[2].Pos; filepath.Base(pos.File) != "b.lisp" || pos.Line != 1 || pos.Col != 1 {
		t.Errorf("x is at %v, want b.lisp:1:1", pos)
	}
}

// filesExceedingLimits returns files that exceed the limits: bomb-0.lisp includes bomb-12.lisp 4096 times
// through 12 levels, deep-0.lisp nests 20 includes.
func filesExceedingLimits() map[string]string {
	files := map[string]string{"bomb-12.lisp": "x"}
	for i := range 12 {
		next := fmt.Sprintf(`(include "bomb-%d.lisp")`, i+1)
		files[fmt.Sprintf("bomb-%d.lisp", i)] = next + next
	}
	for i := range 20 {
		files[fmt.Sprintf("deep-%d.lisp", i)] = fmt.Sprintf(`(include "deep-%d.lisp")`, i+1)
	}
	return files
}

// Errors have the position of the form that must be corrected.
func TestReadTree_RejectsInvalidIncludes(t *testing.T) {
	for name, test := range map[string]struct{ text, want string }{
		"itself":     {`(a (include "a.lisp"))`, "a.lisp:1:4: "},
		"cycle":      {"\n (include \"b.lisp\")", "c.lisp:1:1: "},
		"missing":    {`(include "nowhere.lisp")`, "a.lisp:1:1: "},
		"no path":    {`(include)`, "a.lisp:1:1: (include …) requires one path"},
		"list":       {`(include (b))`, "a.lisp:1:1: (include …) requires one path"},
		"two paths":  {`(include "b.lisp" "c.lisp")`, "a.lisp:1:1: (include …) requires one path"},
		"bad file":   {`(include "bad.lisp")`, "bad.lisp:2:2: "},
		"many files": {`(include "bomb-0.lisp")`, "more than 256 files"},
		"too deep":   {`(include "deep-0.lisp")`, "more than 16 deep"},
	} {
		t.Run(name, func(t *testing.T) {
			files := filesExceedingLimits()
			files["a.lisp"] = test.text
			files["b.lisp"] = `(b (include "c.lisp"))`
			files["c.lisp"] = `(include "a.lisp")`
			files["bad.lisp"] = "(x\n))"
			dir := writeFiles(t, files)
			_, err := ReadTree(filepath.Join(dir, "a.lisp"))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want %q", err, test.want)
			}
		})
	}
}

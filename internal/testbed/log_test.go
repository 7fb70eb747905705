package testbed

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Events are read back as they were written; an error for a truncated or invalid line, or for an event
// without a kind, names the file.
func TestLog_ReadsWrittenEventsAndReportsBadLines(t *testing.T) {
	dir := t.TempDir()
	log := NewLog()
	log.Add(Event{Kind: KindSent, Token: 7, Wait: 5})
	log.Add(Event{Kind: KindAnswer, Token: 7, Code: 100})
	path := filepath.Join(dir, "a.jsonl")
	if err := log.WriteFile(path); err != nil {
		t.Fatal(err)
	}
	events, err := ReadDir(dir)
	if err != nil || len(events) != 2 || events[0].Token != 7 || events[1].Code != 100 {
		t.Fatalf("got events %+v and error %v, want the two events that were added", events, err)
	}
	data, _ := os.ReadFile(path)
	for _, bad := range []string{string(data[:len(data)-5]), string(data) + "{}\n", string(data) + "x\n"} {
		if err := os.WriteFile(path, []byte(bad), 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadDir(dir); err == nil || !strings.Contains(err.Error(), "a.jsonl:") {
			t.Errorf("log ending in %q: got error %v, want one that names a.jsonl", bad[len(bad)-10:], err)
		}
	}
}

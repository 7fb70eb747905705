package testbed

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

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
		t.Fatalf("%+v, %v", events, err)
	}
	data, _ := os.ReadFile(path)
	for _, bad := range []string{string(data[:len(data)-5]), string(data) + "{}\n", string(data) + "x\n"} {
		if err := os.WriteFile(path, []byte(bad), 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadDir(dir); err == nil || !strings.Contains(err.Error(), "a.jsonl:") {
			t.Errorf("%q: %v", bad[len(bad)-10:], err)
		}
	}
}

package daemon

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"landingpaddle/checkpoint"
	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
	"landingpaddle/internal/statefile"
	"landingpaddle/scheduler"
)

// changedSite returns testSite with other settings, among them no messages between instances, no Retry-After,
// a retry budget and writes that are not idempotent.
func changedSite() config.Site {
	site := testSite()
	site.Limits.PeerMessages, site.Limits.RetryAfter = false, false
	site.Rules.RetryBudget = &config.RetryBudget{Floor: 3, Ratio: 0.15, Window: 5 * time.Second}
	site.Rules.DrainGrace = 250 * time.Millisecond
	site.ShareWeight, site.SpareWeight = 0.35, 0.08
	site.Classes[0].PriorityWeight, site.Classes[1].PriorityWeight = 3, 2
	site.Classes[1] = config.Class{
		Name:             "write",
		LatencyObjective: 2 * time.Second,
		Deadline:         4 * time.Second,
		Idempotency:      config.Idempotency(scheduler.NotIdempotent),
		Writes:           true,
		PriorityWeight:   2,
	}
	return site
}

// restartWithChangedSite runs an instance with testSite until it has statistics of a slow and a fast node,
// stops it with requests in flight, and starts one with changedSite. In between it calls modify, if not nil,
// with the path of the saved statistics.
func restartWithChangedSite(t *testing.T, modify func(path string)) (*testEnvironment, *testClient) {
	t.Helper()
	env, path := newTestEnvironment(t), filepath.Join(t.TempDir(), "learnt")
	env.addNode(0, echoAfter(60*time.Millisecond))
	env.addNode(1, echoAfter(5*time.Millisecond))
	old := env.start(func(cfg *Config) { cfg.StatisticsFile = path })
	env.awaitLog("cell=0")
	env.awaitLog("cell=1")
	client := env.connectClient()
	for i := range 24 {
		client.call(func(q *proto.Request) { q.Cell, q.Volume = int32(i%2), uint64(i%2) })
	}
	before := old.Stats.Attempts.Load()
	for range 4 {
		client.sendRequest(nil)
	}
	for old.Stats.Attempts.Load() < before+4 {
		time.Sleep(time.Millisecond)
	}
	old.Stop()
	if err := <-env.ended; err != nil {
		t.Fatal(err)
	}
	<-client.ended
	client.expectOneAnswerEach() // also those in flight at the stop
	if modify != nil {
		modify(path)
	}
	env.start(func(cfg *Config) { cfg.StatisticsFile, cfg.Site = path, changedSite() })
	return env, env.connectClient()
}

// After a restart with changed settings the instance restores its statistics, serves reads and non-idempotent
// writes, and stops gracefully.
func TestStatistics_AreRestoredAfterSettingsChange(t *testing.T) {
	env, client := restartWithChangedSite(t, nil)
	env.awaitLog("statistics saved")
	env.awaitLog("saved statistics restored")
	text := env.logs.String()
	if !strings.Contains(text, "nodes=2 saved_nodes=2 classes=1 all_classes=true") {
		t.Errorf("got this log; want one with 2 of 2 nodes, 1 class and all_classes restored:\n%s", text)
	}
	for i := range 20 {
		class := uint16(i % 2)
		answer := client.call(func(q *proto.Request) { q.Class, q.Cell = class, int32(i/2%2) })
		if answer.Code != proto.OK {
			t.Errorf("request %d: got %+v; want OK", i, answer)
		}
	}
	client.expectOneAnswerEach()
	for range 3 { // requests in flight at the stop are answered as well
		client.sendRequest(nil)
	}
	for env.instance.Stats.Admitted.Load() < 23 {
		time.Sleep(time.Millisecond)
	}
	env.instance.Stop()
	if err := <-env.ended; err != nil {
		t.Error("got an error from Run; want nil:", err)
	}
	<-client.ended
	client.expectOneAnswerEach()
	if n := env.instance.Stats.Overdue.Load(); n != 0 {
		t.Errorf("got %d overdue calls; want 0", n)
	}
}

// An incarnation without requests keeps the statistics that the previous one saved.
func TestStatistics_IdleIncarnationKeepsThem(t *testing.T) {
	env, path := newTestEnvironment(t), filepath.Join(t.TempDir(), "learnt")
	env.addNode(0, echo)
	for incarnation := range 2 {
		env.start(func(cfg *Config) { cfg.StatisticsFile = path })
		env.awaitLog("node listed")
		if client := env.connectClient(); incarnation == 0 {
			client.call(nil)
		}
		env.instance.Stop()
		if err := <-env.ended; err != nil {
			t.Fatal(err)
		}
		var record checkpoint.Record
		if err := statefile.Read(path, statisticsMagic, &record); err != nil || len(record.Nodes) != 1 {
			t.Errorf("incarnation %d: got %d nodes, error %v; want 1 node", incarnation,
				len(record.Nodes), err)
		}
	}
}

// rewriteStatistics returns a function that changes the record in a statistics file and writes it back with
// the given magic.
func rewriteStatistics(t *testing.T, magic string, change func(*checkpoint.Record)) func(path string) {
	return func(path string) {
		var record checkpoint.Record
		if err := statefile.Read(path, statisticsMagic, &record); err != nil {
			t.Fatal(err)
		}
		change(&record)
		data, err := statefile.Encode(magic, record)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, data, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// rewriteBytes returns a function that changes the bytes of a file.
func rewriteBytes(t *testing.T, change func([]byte) []byte) func(path string) {
	return func(path string) {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, change(data), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// A missing statistics file is logged, an invalid one is logged in one line and ignored; the instance serves
// requests in both cases.
func TestStatistics_IgnoresInvalidFiles(t *testing.T) {
	remove := func(path string) { _ = os.Remove(path) }
	flipLastByte := func(data []byte) []byte {
		data[len(data)-1] ^= 1
		return data
	}
	truncate := func(data []byte) []byte { return data[:len(data)/2] }
	unchanged := func(*checkpoint.Record) {}
	otherInstance := func(r *checkpoint.Record) { r.Fingerprint.Instance = 7 }
	twoHoursOlder := func(r *checkpoint.Record) { r.WrittenAt -= int64(2 * time.Hour) }
	negativeMedian := func(r *checkpoint.Record) { r.MedianLatency = -1 }
	for _, c := range []struct {
		name, logged string
		modify       func(path string)
	}{
		{"none", "no saved statistics", remove},
		{"damaged", "checksum does not match", rewriteBytes(t, flipLastByte)},
		{"truncated", "bytes follow", rewriteBytes(t, truncate)},
		{"newer format", "does not begin with", rewriteStatistics(t, "LPLEARN2", unchanged)},
		{"other instance", "it is of instance 7", rewriteStatistics(t, statisticsMagic, otherInstance)},
		{"too old", "old, over", rewriteStatistics(t, statisticsMagic, twoHoursOlder)},
		{"negative latency", "out of range", rewriteStatistics(t, statisticsMagic, negativeMedian)},
	} {
		t.Run(c.name, func(t *testing.T) {
			env, client := restartWithChangedSite(t, c.modify)
			env.awaitLog(c.logged)
			expectServedWithoutStatistics(t, env, client)
			if n := strings.Count(env.logs.String(), "saved statistics ignored"); c.name != "none" && n != 1 {
				t.Errorf("got %d log lines on ignored statistics; want 1", n)
			}
		})
	}
}

// expectServedWithoutStatistics checks that an instance serves requests and has not restored statistics.
func expectServedWithoutStatistics(t *testing.T, env *testEnvironment, client *testClient) {
	t.Helper()
	for range 4 {
		if answer := client.call(nil); answer.Code != proto.OK {
			t.Errorf("got %+v; want OK", answer)
		}
	}
	client.expectOneAnswerEach()
	if strings.Contains(env.logs.String(), "saved statistics restored") {
		t.Error("got restored statistics; want none")
	}
}

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

// changedSite is testSite with other settings: no messages between instances, no Retry-After, a retry budget,
// writes that are not idempotent.
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

// restartWithChangedSite runs an instance of testSite until it has statistics of a slow and a quick node,
// stops it with requests in flight, and starts one of changedSite. Between the two it calls spoil with the
// path of the saved statistics.
func restartWithChangedSite(t *testing.T, spoil func(path string)) (*testEnvironment, *testClient) {
	t.Helper()
	env, path := newTestEnvironment(t), filepath.Join(t.TempDir(), "learnt")
	env.node(0, echoAfter(60*time.Millisecond))
	env.node(1, echoAfter(5*time.Millisecond))
	old := env.start(func(cfg *Config) { cfg.StatisticsFile = path })
	env.awaitLog("cell=0")
	env.awaitLog("cell=1")
	client := env.client()
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
	client.expectOneAnswerEach() // each request taken before the switch has its one answer
	if spoil != nil {
		spoil(path)
	}
	env.start(func(cfg *Config) { cfg.StatisticsFile, cfg.Site = path, changedSite() })
	return env, env.client()
}

// After a change of settings the instance has its statistics back, serves reads and writes that are not
// idempotent, and stops gracefully.
func TestStatistics_AreRestoredAfterSettingsChange(t *testing.T) {
	env, client := restartWithChangedSite(t, nil)
	env.awaitLog("statistics saved")
	env.awaitLog("saved statistics restored")
	text := env.logs.String()
	if !strings.Contains(text, "nodes=2 saved_nodes=2 classes=1 all_classes=true") {
		t.Errorf("not logged what was restored:\n%s", text)
	}
	for i := range 20 {
		class := uint16(i % 2)
		answer := client.call(func(q *proto.Request) { q.Class, q.Cell = class, int32(i/2%2) })
		if answer.Code != proto.OK {
			t.Errorf("request %d got %+v", i, answer)
		}
	}
	client.expectOneAnswerEach()
	for range 3 { // what is out when it stops has its answer too
		client.sendRequest(nil)
	}
	for env.instance.Stats.Admitted.Load() < 23 {
		time.Sleep(time.Millisecond)
	}
	env.instance.Stop()
	if err := <-env.ended; err != nil {
		t.Error(err)
	}
	<-client.ended
	client.expectOneAnswerEach()
	if n := env.instance.Stats.Overdue.Load(); n != 0 {
		t.Errorf("%d answers were overdue", n)
	}
}

// An incarnation without requests leaves the statistics of the one before as they are.
func TestStatistics_IdleIncarnationKeepsThem(t *testing.T) {
	env, path := newTestEnvironment(t), filepath.Join(t.TempDir(), "learnt")
	env.node(0, echo)
	for incarnation := range 2 {
		env.start(func(cfg *Config) { cfg.StatisticsFile = path })
		env.awaitLog("node listed")
		if client := env.client(); incarnation == 0 {
			client.call(nil)
		}
		env.instance.Stop()
		if err := <-env.ended; err != nil {
			t.Fatal(err)
		}
		var rec checkpoint.Record
		if err := statefile.Read(path, statisticsMagic, &rec); err != nil || len(rec.Nodes) != 1 {
			t.Errorf("incarnation %d: %d nodes, %v", incarnation, len(rec.Nodes), err)
		}
	}
}

// Statistics that cannot be trusted are logged in one line and ignored; the instance serves all the same.
func TestStatistics_IgnoresInvalidFiles(t *testing.T) {
	write := func(magic string, change func(*checkpoint.Record)) func(string) {
		return func(path string) {
			var rec checkpoint.Record
			err := statefile.Read(path, statisticsMagic, &rec)
			change(&rec)
			var data []byte
			if err == nil {
				data, err = statefile.Encode(magic, rec)
			}
			if err == nil {
				err = os.WriteFile(path, data, 0o644)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	same := func(*checkpoint.Record) {}
	for _, c := range []struct {
		name, logged string
		spoil        func(string)
	}{
		{"none", "no saved statistics", func(p string) { _ = os.Remove(p) }},
		{"damaged", "checksum does not match", func(p string) {
			data, _ := os.ReadFile(p)
			data[len(data)-1] ^= 1
			_ = os.WriteFile(p, data, 0o644)
		}},
		{"cut", "bytes follow", func(p string) {
			data, _ := os.ReadFile(p)
			_ = os.WriteFile(p, data[:len(data)/2], 0o644)
		}},
		{"newer", "does not begin with", write("LPLEARN2", same)},
		{"foreign", "it is of instance 7", write(statisticsMagic,
			func(r *checkpoint.Record) { r.Fingerprint.Instance = 7 })},
		{"old", "old, over", write(statisticsMagic, func(r *checkpoint.Record) {
			r.WrittenAt -= int64(2 *
				time.Hour)
		})},
		{"absurd", "out of range", write(statisticsMagic,
			func(r *checkpoint.Record) { r.MedianLatency = -1 })},
	} {
		t.Run(c.name, func(t *testing.T) {
			env, client := restartWithChangedSite(t, c.spoil)
			env.awaitLog(c.logged)
			for range 4 {
				if answer := client.call(nil); answer.Code != proto.OK {
					t.Errorf("got %+v", answer)
				}
			}
			client.expectOneAnswerEach()
			if strings.Contains(env.logs.String(), "saved statistics restored") {
				t.Error("figures were taken over all the same")
			}
			if n := strings.Count(env.logs.String(), "saved statistics ignored"); c.name != "none" && n != 1 {
				t.Errorf("logged in %d lines", n)
			}
		})
	}
}

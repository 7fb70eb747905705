package testbed

import (
	"context"
	"testing"
	"time"

	"landingpaddle/internal/proto"
)

// In the embedded scenario, which contains every kind of fault, every rule is kept. Every rule must also have
// been checked, except the retry budget, which is checked only when an instance retries.
func TestRunner_FaultScenarioKeepsTheRules(t *testing.T) {
	scenario, err := FaultScenario()
	if err != nil {
		t.Fatal(err)
	}
	recording, err := RunScenario(context.Background(), &scenario, Options{Seed: 1, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	for _, verdict := range CheckInvariants(&scenario.Site, recording.Events) {
		t.Logf("%+v", verdict)
		if !verdict.Holds || verdict.Checked == 0 && verdict.Rule != RuleBudget {
			t.Errorf("rule %s: not checked or violated; first violation: %s", verdict.Rule,
				verdict.FirstViolation)
		}
	}
	t.Logf("%+v", Summarize(&scenario.Site, recording))
}

// An instance is killed with requests in flight: their clients fail over and are served within their
// timeout.
func TestRunner_ClientsOfAKilledInstanceFailOver(t *testing.T) {
	t.Parallel()
	scenario := smallScenario(t, readClass, "",
		`(traffic (class read) (plan free) (rate 300) (volumes 4) (units 4 4) (writers 2))
		(at 1s (crash (instances 0)))`)
	clients := &scenario.Clients
	clients.Retries, clients.FailOver, clients.RetryDelay = 2, true, 20*time.Millisecond
	scenario.Nodes.Model.PerUnit = 4 * time.Millisecond
	lost, firstSent, served := map[uint64]bool{}, map[uint64]int64{}, 0
	for _, event := range runKeepingRules(t, scenario) {
		switch event.Kind {
		case KindSent:
			if firstSent[event.Token] == 0 {
				firstSent[event.Token] = event.Time
			}
		case KindBroken:
			lost[event.Token] = true
		case KindAnswer:
			if !lost[event.Token] || event.Code != proto.OK {
				continue
			}
			if served++; event.Instance != 1 {
				t.Errorf("request %d was served by the killed instance", event.Token)
			}
			latency := time.Duration(event.Time - firstSent[event.Token])
			if latency > time.Second+maxTransitTime {
				t.Errorf("request %d was served after %v, want within its timeout of 1 s",
					event.Token, latency)
			}
		}
	}
	if len(lost) == 0 || served < len(lost)*2/3 {
		t.Errorf("%d requests lost with the instance, want some; %d of them served elsewhere, "+
			"want at least two thirds", len(lost), served)
	}
}

// An instance is stalled for a second and resumes with all its timers due: no request is answered twice,
// nothing is sent for requests that it has rejected, and it serves again.
func TestRunner_StalledInstanceServesAgain(t *testing.T) {
	t.Parallel()
	scenario := smallScenario(t, readClass+writeClass, "(order-pause 50ms)", readTraffic+
		`(traffic (class write) (plan free) (rate 80) (volumes 2) (units 1 4) (keys 10) (writers 2))
		 (at 800ms (stall (instances 0) (for 1s)))`)
	var resumedAt int64
	servedAfter := 0
	for _, event := range runKeepingRules(t, scenario) {
		if event.Kind == KindInstanceStalled {
			resumedAt = event.Time + event.Wait
		}
		served := event.Kind == KindAnswer && event.Instance == 0 && event.Code == proto.OK
		if served && resumedAt > 0 && event.Time > resumedAt+int64(time.Second/2) {
			servedAfter++
		}
	}
	if servedAfter == 0 {
		t.Error("the instance serves no request later than 0.5 s after the stall")
	}
}

// The clocks of the nodes are ahead by half a minute: a restarted node still gets a slow start, which lasts
// no longer than the slow-start period.
func TestRunner_NodeClocksAheadKeepTheSlowStart(t *testing.T) {
	t.Parallel()
	scenario := smallScenario(t, readClass,
		`(cold-share 0.1) (cold-units 60) (ramp 1s) (fall-window 500ms) (fall-multiple 2)`,
		`(traffic (class read) (plan free) (rate 300) (volumes 4) (units 1 4) (writers 2))
		 (at 500ms (kill-node (nodes 1) (back 200ms)))`)
	scenario.Nodes.ClockAhead = 30 * time.Second
	var restartedAt int64
	coldUnits, warmUnits := 0, 0
	for _, event := range runKeepingRules(t, scenario) {
		afterRestart := event.Kind == KindArrive && event.Node == 1 && restartedAt > 0
		switch {
		case event.Kind == KindNodeStarted && event.Node == 1 && event.StartedAt != 0:
			restartedAt = event.Time
		case afterRestart && event.Time < restartedAt+int64(time.Second/2):
			coldUnits += event.Units
		case afterRestart && event.Time > restartedAt+int64(1700*time.Millisecond):
			warmUnits += event.Units
		}
	}
	if coldUnits > 120 || warmUnits < 20 {
		t.Errorf("got %d units in the first half second after the restart, want at most 120; "+
			"got %d when warm, want at least 20", coldUnits, warmUnits)
	}
}

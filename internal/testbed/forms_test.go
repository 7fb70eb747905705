package testbed

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"landingpaddle/internal/config"
	"landingpaddle/internal/proto"
	"landingpaddle/internal/sexpr"
)

// fullEvent has a distinct value in each field.
var fullEvent = Event{
	Time:       1,
	Kind:       KindSent,
	Instance:   2,
	Node:       3,
	Client:     4,
	Conn:       5,
	Seq:        6,
	Token:      7,
	ClientTry:  8,
	Attempt:    9,
	Class:      10,
	Plan:       11,
	Volume:     12,
	Key:        13,
	Units:      14,
	Code:       proto.OK,
	Reason:     "word",
	Wait:       17,
	Status:     "ready",
	StartedAt:  19,
	Zone:       20,
	Cell:       21,
	Write:      true,
	Operation:  23,
	Piece:      24,
	DataVolume: 25,
	Offset:     26,
	Length:     27,
	Checksum:   28,
}

var allKinds = []Kind{
	KindSent, KindAnswer, KindBroken, KindClientLeft, KindTimedOut, KindNodeStarted, KindNodeStopped,
	KindArrive, KindOverloaded, KindNotApplicable, KindStart, KindEnd, KindDuplicate, KindCancel,
	KindCancelArrived, KindReplied, KindCollapsed, KindNotice, KindAcknowledged, KindInstanceStarted,
	KindInstanceKilled, KindInstanceStalled, KindConnectionsStuck, KindProcessStalled,
}

// Other programs read the lines of a log, the checker's verdicts, the summary and the settings of the
// embedded scenario. Their formats must not change.
func TestForms_MatchGoldenFile(t *testing.T) {
	var out strings.Builder
	writeLine := func(value any) {
		t.Helper()
		line, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		out.Write(append(line, '\n'))
	}
	writeLine(fullEvent)
	writeLine(Event{})
	for _, kind := range allKinds {
		writeLine(kind)
	}
	writeLine(Verdict{})
	writeLine(Summary{})
	for _, verdict := range CheckInvariants(&config.Site{}, nil) {
		writeLine(verdict.Rule)
	}
	scenario, err := FaultScenario()
	if err != nil {
		t.Fatal(err)
	}
	out.WriteString(sexpr.Print("day", &scenario))
	const path = "testdata/forms.txt"
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got := out.String(); got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", path, got, want)
	}
}

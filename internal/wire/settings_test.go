package wire

import (
	"testing"
	"time"

	"landingpaddle/scheduler"
)

func TestParseSettings_MapsKnownPaths(t *testing.T) {
	settings, err := ParseSettings("me=2\npeers_total=3\n" +
		"classes.count=2\nclasses.0.deadline_ns=2500000000\n" +
		"classes.1.repeat=idempotency_key\nclasses.1.group=cell\nclasses.1.fifo_by_key=true\n" +
		"contracts.count=1\ncontracts.0.never_over=35.0\ndomain.class_writes=false,true\n" +
		"registry_mode=ask\nreport.fields=\nrules.look_back_ns=1000\nunheard.of=some_thing\n")
	if err != nil {
		t.Fatal(err)
	}
	if settings.InstanceIndex != 2 || settings.Instances != 3 || !settings.PollEndpoints ||
		!settings.RetryBudget || len(settings.Classes) != 2 || len(settings.Plans) != 1 ||
		settings.LoadFields != nil {
		t.Errorf("got %+v, want the values of the lines", settings)
	}
	class := settings.Classes[1]
	if class.Idempotency != scheduler.IdempotentByKey || class.DedupScope != scheduler.DedupCell ||
		!class.OrderedByKey || !class.Writes {
		t.Errorf("class 1: got %+v, want an ordered write with idempotency key, of scope cell", class)
	}
	if settings.Classes[0].Deadline != 2500*time.Millisecond || settings.Plans[0].Limit != 35 {
		t.Errorf("got %+v, want deadline 2.5 s of class 0 and limit 35 of plan 0", settings)
	}
	if _, err := ParseSettings(""); err != nil {
		t.Errorf("empty settings: got %v, want no error", err)
	}
}

func TestParseSettings_RejectsInvalidValues(t *testing.T) {
	for _, line := range []string{"me=x", "me=1.5", "classes.count=-1", "contracts.count=99999",
		"limits.cancel=maybe", "registry_mode=sometimes", "round_ns=-5", "round_ns=nan", "no equals sign"} {
		t.Run(line, func(t *testing.T) {
			if _, err := ParseSettings(line + "\n"); err == nil {
				t.Errorf("%q was accepted, want an error", line)
			}
		})
	}
}

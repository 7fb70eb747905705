package wire

import (
	"reflect"
	"strings"
	"testing"
)

// flatSettings and nestedSettings are the same settings in both forms.
const flatSettings = `callers.marks_retry=true
classes.count=2
classes.0.deadline_ns=2500000000
classes.0.group=all
classes.0.late_worth=0.15
classes.0.name=field-read
classes.0.on_time_ns=500000000
classes.0.repeat=read_like
classes.0.worth=2.0
classes.1.deadline_ns=3000000000
classes.1.fifo_by_key=true
classes.1.group=cell
classes.1.name=field-write
classes.1.on_time_ns=600000000
classes.1.repeat=idempotency_key
classes.1.window_ns=5000000000
classes.1.worth=2.0
contracts.count=1
contracts.0.base_rate=3.5
contracts.0.limit_slack=6.0
contracts.0.most_at_once=47.0
contracts.0.name=standard
contracts.0.never_over=35.0
contracts.0.proportion=1.0
contracts.0.reservation=1.8
contracts.0.worth_factor=0.72
domain.class_writes=false,true
domain.cold_bears=62.0
domain.mean_units=2.0
domain.most_units=6
domain.shards=9
failure_domains=hall-a,hall_b
kinds=box-3c
limits.attempts_cap=3
limits.idle_close_ns=15000000000
limits.max_open=333
limits.probes=true
me=2
peers_total=3
registry_mode=ask
report.fields=rif,q
round_ns=2000000
rules.answer_slack_ns=8000000
rules.extra_floor=3
rules.further_ratio=0.1
rules.look_back_ns=1000000000
zone=1
`

const nestedSettings = `{"callers":{"marks_retry":true},
"classes":[{"deadline_ns":2500000000,"group":"all","late_worth":0.15,"name":"field-read",
 "on_time_ns":500000000,
 "repeat":"read_like","worth":2.0},
 {"deadline_ns":3000000000,"fifo_by_key":true,"group":"cell","name":"field-write","on_time_ns":600000000,
 "repeat":"idempotency_key","window_ns":5000000000,"worth":2.0}],
"contracts":[{"base_rate":3.5,"limit_slack":6.0,"most_at_once":47.0,"name":"standard","never_over":35.0,
 "proportion":1.0,"reservation":1.8,"worth_factor":0.72}],
"domain":{"class_writes":[false,true],"cold_bears":62.0,"mean_units":2.0,"most_units":6,"shards":9},
"failure_domains":["hall-a","hall b"],"kinds":["box-3c"],
"limits":{"attempts_cap":3,"idle_close_ns":15000000000,"max_open":333,"probes":true},
"me":2,"peers_total":3,"registry_mode":"ask","report":{"fields":["rif","q"]},"round_ns":2000000,
"rules":{"answer_slack_ns":8000000,"extra_floor":3,"further_ratio":0.1,"look_back_ns":1e9},
"zone":1,"new":{"deep":[{"er":null}]}}`

// Both forms must result in the same scheduler settings. The test guards against two mappings that diverge.
func TestParseNested_EqualsTheFlatForm(t *testing.T) {
	want, err := ParseSettings(flatSettings)
	if err != nil {
		t.Fatal(err)
	}
	got, err := ParseNested([]byte(nestedSettings))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got.Settings, want) {
		t.Fatalf("nested\n%+v\nflat\n%+v", got.Settings, want)
	}
	if got.Classes[1] != "field-write" || got.Plans[0] != "standard" || got.Zone("hall b") != 1 ||
		got.Zone("hall-z") != 255 || got.Shards != 9 || got.MaxOpenRequests != 333 ||
		got.IdleTimeout.Seconds() != 15 || got.AnswerSlack.Milliseconds() != 8 {
		t.Fatalf("fields other than Settings: got %+v, want those of nestedSettings", got)
	}
}

func TestParseNested_RejectsInvalidDocuments(t *testing.T) {
	for name, test := range map[string]struct{ doc, want string }{
		"not closed":        {`{`, "settings"},
		"not an object":     {`[]`, "settings"},
		"two values":        {`{} {}`, "more than one"},
		"no classes":        {`{}`, "no classes"},
		"not a number":      {`{"classes":[{"worth":"a"}]}`, "classes.0.worth"},
		"not a boolean":     {`{"limits":{"probes":"x"}}`, "limits.probes"},
		"mixed list":        {`{"a":[1,{"b":2}]}`, "a: objects and plain"},
		"list within lists": {`{"a":[[1]]}`, "a:"},
		"nested too deep":   {strings.Repeat(`{"a":`, 40) + "1" + strings.Repeat("}", 40), "too deep"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseNested([]byte(test.doc))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%.40s: got %v; want an error with %q", test.doc, err, test.want)
			}
		})
	}
}

package config

import (
	"strings"
	"testing"
)

const validSite = "\n(site (class r (aim 1s) (deadline 2s)) (plan p (rate 1)))"

// instanceWith returns an instance's settings with the required addresses and the given forms.
func instanceWith(forms string) string {
	return "(instance (listen 127.0.0.1:1) (list 127.0.0.1:2)" + forms + ")"
}

// invalidSettings are settings of instances that Load must reject, and texts that the errors must contain.
var invalidSettings = []struct{ name, text, want string }{
	{"required form missing", "(instance)", "i.lisp:1:1: (instance …) is missing (listen …)"},
	{"instance number out of range",
		instanceWith(validSite + "(number 3)"),
		"i.lisp:1:1: instance number 3 of 1"},
	{"unknown zone",
		instanceWith(validSite + "(zone x)"),
		"i.lisp:1:1: zone x is not one of [a]"},
	{"peer twice",
		instanceWith(validSite + "(peer 1 127.0.0.1:1) (peer 1 127.0.0.1:2)"),
		"i.lisp:1:1: duplicate peer 1"},
	{"peer without a port",
		instanceWith(validSite + "\n(peer 1 localhost)"),
		"i.lisp:3:9: \"localhost\" is not an IPv4 address"},
	{"no class",
		instanceWith("\n(site (plan p (rate 1)))"),
		"i.lisp:2:1: a site must have at least one (class …)"},
	{"aim after deadline",
		instanceWith("\n(site (class r (aim 2s) (deadline 1s)) (plan p (rate 1)))"),
		"i.lisp:2:7: class r: aim 2s exceeds"},
	{"keyed without window",
		instanceWith("\n(site (class r (aim 1s) (deadline 1s) (repeat keyed)) (plan p (rate 1)))"),
		"i.lisp:2:7: class r is keyed"},
	{"unknown idempotency",
		instanceWith("\n(site (class r (aim 1s) (deadline 1s) (repeat odd)) (plan p (rate 1)))"),
		"i.lisp:2:47: found \"odd\""},
	{"limit without burst",
		instanceWith("\n(site (class r (aim 1s) (deadline 1s)) (plan p (rate 1) (limit 2)))"),
		"i.lisp:2:40: plan p has a limit"},
	{"class twice",
		instanceWith("\n(site (class r (aim 1s) (deadline 1s)) (class r (aim 1s) (deadline 1s))" +
			" (plan p (rate 1)))"),
		"i.lisp:2:1: duplicate class r"},
	{"slow start incomplete",
		instanceWith("\n(site (class r (aim 1s) (deadline 1s)) (plan p (rate 1)) (rules (ramp 5s)))"),
		"i.lisp:2:1: slow start (ramp 5s) requires"},
	{"window without key",
		instanceWith("\n(site (class r (aim 1s) (deadline 1s) (repeat unsafe) (window 1s))" +
			" (plan p (rate 1)))"),
		"i.lisp:2:7: class r is unsafe; only a keyed class has a (window …)"},
	{"spare over share",
		instanceWith("\n(site (class r (aim 1s) (deadline 1s)) (plan p (rate 1))\n" +
			"(share-worth 0.3) (spare-worth 0.4))"),
		"i.lisp:2:1: spare-worth 0.4 exceeds share-worth 0.3"},
	{"share over its bound",
		instanceWith("\n(site (share-worth 2) (class r (aim 1s) (deadline 1s)) (plan p (rate 1)))"),
		"i.lisp:2:"},
	{"budget without retries",
		instanceWith("\n(site (class r (aim 1s) (deadline 1s)) (plan p (rate 1))" +
			" (rules (budget (window 5s))))"),
		"i.lisp:2:1: a retry budget of 0"},
	{"peers not allowed",
		instanceWith(" (peer-listen 127.0.0.1:3)\n" +
			"(site (class r (aim 1s) (deadline 1s)) (plan p (rate 1)) (limits (peers no)))"),
		"i.lisp:1:1: the site has (peers no)"},
	{"statistics and snapshot in one file",
		instanceWith(validSite + "(learnt /x) (kept-list /x)"),
		"i.lisp:1:1: (learnt …) and (kept-list …) name the same file /x"},
}

func TestLoad_RejectsInvalidSettings(t *testing.T) {
	for _, test := range invalidSettings {
		t.Run(test.name, func(t *testing.T) {
			_, err := loadInstance(t, test.text)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%s\n got %v\nwant %s", test.text, err, test.want)
			}
		})
	}
}

package platform

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

func TestConfig_ReportsInvalidValues(t *testing.T) {
	doc := string(configDocument("127.0.0.1:1", nil, 256))
	for change, want := range map[string]string{
		`"listen":"127.0.0.1:0"|"listen":"here"`:      `"listen"`,
		`"discovery":"127.0.0.1:1"|"discovery":"x"`:   `"discovery"`,
		`"seed":"1f"|"seed":"zz"`:                     `"seed"`,
		`"sockets":256|"sockets":8`:                   `limits.sockets`,
		`"worth":2|"worth":"much"`:                    `classes.0.worth`,
		`"settings":|"other":`:                        `"settings"`,
		`"name":"n0"|"name":5`:                        `name`,
		`"registry_mode":"ask"|"registry_mode":"say"`: `registry_mode`,
	} {
		from, to, _ := strings.Cut(change, "|")
		if !strings.Contains(doc, from) {
			t.Fatalf("%s is not in the document", from)
		}
		_, err := parseConfig([]byte(strings.Replace(doc, from, to, 1)), noEnvironment)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v; want one line with %s", to, err, want)
		}
	}
	env := func(name string) string { return map[string]string{"BALANCER_NAME": "n1"}[name] }
	if _, err := parseConfig([]byte(doc), env); err == nil ||
		!strings.Contains(err.Error(), "BALANCER_NAME") {
		t.Errorf("contradicting variables: %v", err)
	}
	if _, err := Load(noEnvironment); err == nil || !strings.Contains(err.Error(), "BALANCER_CONFIG") {
		t.Errorf("no variable: %v", err)
	}
	if !bytes.Contains([]byte(doc), []byte("limits")) {
		t.Error("the document names no limits")
	}
}

func TestConfig_LoadsExample(t *testing.T) {
	cfg, err := Load(func(name string) string {
		return map[string]string{"BALANCER_CONFIG": "../../examples/platform.json"}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := New(cfg, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
}

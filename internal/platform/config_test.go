package platform

import (
	"errors"
	"log/slog"
	"strings"
	"testing"
)

// environment returns a LookupEnv that reads from a map.
func environment(variables map[string]string) LookupEnv {
	return func(name string) string { return variables[name] }
}

// An invalid value is reported in one line that names its key.
func TestConfig_ReportsInvalidValues(t *testing.T) {
	document := string(configDocument("127.0.0.1:1", nil, 256))
	for _, test := range []struct{ from, to, want string }{
		{`"listen":"127.0.0.1:0"`, `"listen":"here"`, `"listen"`},
		{`"discovery":"127.0.0.1:1"`, `"discovery":"x"`, `"discovery"`},
		{`"seed":"1f"`, `"seed":"zz"`, `"seed"`},
		{`"sockets":256`, `"sockets":8`, `limits.sockets`},
		{`"worth":2`, `"worth":"much"`, `classes.0.worth`},
		{`"settings":`, `"other":`, `"settings"`},
		{`"name":"n0"`, `"name":5`, `name`},
		{`"registry_mode":"ask"`, `"registry_mode":"say"`, `registry_mode`},
	} {
		if !strings.Contains(document, test.from) {
			t.Fatalf("%s is not in the document", test.from)
		}
		_, err := parseConfig([]byte(strings.Replace(document, test.from, test.to, 1)), noEnvironment)
		if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line with %s", test.to, err, test.want)
		}
	}
	contradicting := environment(map[string]string{"BALANCER_NAME": "n1"})
	if _, err := parseConfig([]byte(document), contradicting); err == nil ||
		!strings.Contains(err.Error(), "BALANCER_NAME") {
		t.Errorf("contradicting BALANCER_NAME: got error %v, want one that names it", err)
	}
	if _, err := Load(noEnvironment); err == nil || !strings.Contains(err.Error(), "BALANCER_CONFIG") {
		t.Errorf("BALANCER_CONFIG not set: got error %v, want one that names it", err)
	}
	if !strings.Contains(document, "limits") {
		t.Error("the document does not contain limits")
	}
}

// The error for an invalid value is a ConfigError with its key and value.
func TestConfig_ErrorNamesKeyAndValue(t *testing.T) {
	document := string(configDocument("127.0.0.1:1", nil, 256))
	for _, test := range []struct {
		from, to, key string
		value         string // "-": the error has no value
	}{
		{`"listen":"127.0.0.1:0"`, `"listen":"here"`, "listen", "here"},
		{`"listen":"127.0.0.1:0"`, `"listen":""`, "listen", ""},
		{`"sockets":256`, `"sockets":8`, "limits.sockets", "-"},
		{`"settings":`, `"other":`, "settings", "-"},
	} {
		_, err := parseConfig([]byte(strings.Replace(document, test.from, test.to, 1)), noEnvironment)
		var configError *ConfigError
		if !errors.As(err, &configError) || configError.Key != test.key {
			t.Errorf("%s: got error %v, want a ConfigError for %s", test.to, err, test.key)
			continue
		}
		value := "-"
		if configError.Value != nil {
			value = *configError.Value
		}
		if value != test.value {
			t.Errorf("%s: got error %v, want the value %s", test.to, err, test.value)
		}
	}
}

func TestConfig_LoadsExample(t *testing.T) {
	config, err := Load(environment(map[string]string{"BALANCER_CONFIG": "../../examples/platform.json"}))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := New(config, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
}

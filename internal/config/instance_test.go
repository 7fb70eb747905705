package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"landingpaddle/internal/sexpr"
)

// loadInstance writes an instance's settings file and loads it.
func loadInstance(t *testing.T, text string) (Instance, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "i.lisp")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	instance := DefaultInstance()
	err := Load(path, "instance", &instance)
	return instance, err
}

func TestInstance_LoadsAsPrinted(t *testing.T) {
	instance, err := loadInstance(t,
		"(instance (listen 127.0.0.1:1) (list 127.0.0.1:2) (learnt \"x\")\n"+siteForm+")")
	if err != nil {
		t.Fatal(err)
	}
	printed := sexpr.Print("instance", instance)
	again, err := loadInstance(t, printed)
	if err != nil || sexpr.Print("instance", again) != sexpr.Print("instance", instance) {
		t.Errorf("the printed settings must load as they were; got error %v, printed\n%s", err, printed)
	}
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte("(instance (listen 127.0.0.1:1) (list 127.0.0.1:2)\n" + siteForm + ")"))
	f.Fuzz(func(t *testing.T, data []byte) {
		nodes, err := sexpr.Parse("f", data)
		if err != nil {
			return
		}
		instance := DefaultInstance()
		if err := sexpr.DecodeOne(nodes, "f", "instance", &instance); err != nil {
			if !strings.HasPrefix(err.Error(), "f:") {
				t.Fatalf("no position in %v", err)
			}
			return
		}
		zone := uint8(instance.Site.Zone(instance.Zone))
		instance.Site.SchedulerSettings(instance.Number, instance.Instances, zone, false)
	})
}

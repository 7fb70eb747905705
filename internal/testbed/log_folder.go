package testbed

import (
	"os"
	"path/filepath"

	"landingpaddle/internal/config"
	"landingpaddle/internal/sexpr"
)

// Files of a folder with logs. It may also contain logs of other processes.
const (
	siteFile        = "site.lisp" // the settings against which the logs are checked
	scenarioLogFile = "day.jsonl"
)

// WriteLogFolder writes a run's events and its site's settings into a folder, which is created if missing.
func WriteLogFolder(dir string, site *config.Site, events []Event) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	settings := []byte(sexpr.Print("site", site))
	if err := os.WriteFile(filepath.Join(dir, siteFile), settings, 0o644); err != nil {
		return err
	}
	return WriteEvents(filepath.Join(dir, scenarioLogFile), events)
}

// ReadLogFolder reads the site's settings and all logs of a folder. Errors give file and line; see ReadDir.
func ReadLogFolder(dir string) (*config.Site, []Event, error) {
	site := config.DefaultSite()
	if err := config.Load(filepath.Join(dir, siteFile), "site", &site); err != nil {
		return nil, nil, err
	}
	events, err := ReadDir(dir)
	if err != nil {
		return nil, nil, err
	}
	return &site, events, nil
}

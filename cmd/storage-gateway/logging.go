package main

import (
	"fmt"
	"log/slog"
	"os"
)

// newLogger returns a logger that writes structured records at or above a level to standard error.
func newLogger(levelName string, asJSON bool) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(levelName)); err != nil {
		return nil, fmt.Errorf("log level %q: must be debug, info, warn or error", levelName)
	}
	options := &slog.HandlerOptions{Level: level}
	if asJSON {
		return slog.New(slog.NewJSONHandler(os.Stderr, options)), nil
	}
	return slog.New(slog.NewTextHandler(os.Stderr, options)), nil
}

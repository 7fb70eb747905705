// Package config defines the typed settings of the programs: what a settings file may say, the defaults, the
// checks, and the conversion into the settings of the scheduler and the extent planner.
//
// Settings files are S-expressions in the form that package sexpr decodes; a field's tag gives its name
// there. Every error in a file is a *sexpr.Error, with file, line and column. Durations are written with a
// unit, as 250ms; rates are in units per second over all instances and nodes.
package config

// Package config defines the typed settings of the programs, their defaults and checks, and the conversion
// into the settings of the scheduler and the extent planner. It also loads planned fleets and their
// expectations.
//
// Settings files are S-expressions in the form that package sexpr decodes; a field's tag specifies its
// name in the file. Every error in a file is a *sexpr.Error, with file, line and column. Durations are
// written with a unit, such as 250ms; a plan's rates are in units per second over all instances and nodes.
package config

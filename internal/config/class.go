package config

import (
	"fmt"
	"slices"
	"time"

	"landingpaddle/scheduler"
)

// Idempotency is a scheduler.Idempotency, written in settings as safe, keyed or unsafe.
type Idempotency scheduler.Idempotency

// idempotencyNames are the names in settings, indexed by value.
var idempotencyNames = []string{"safe", "keyed", "unsafe"}

// UnmarshalText parses safe, keyed or unsafe.
func (i *Idempotency) UnmarshalText(text []byte) error { return parseName(i, text, idempotencyNames) }

// String returns the name in settings.
func (i Idempotency) String() string { return idempotencyNames[i] }

// DedupScope is a scheduler.DedupScope, written in settings as all, zone or cell.
type DedupScope scheduler.DedupScope

// dedupScopeNames are the names in settings, indexed by value.
var dedupScopeNames = []string{"all", "zone", "cell"}

// UnmarshalText parses all, zone or cell.
func (d *DedupScope) UnmarshalText(text []byte) error { return parseName(d, text, dedupScopeNames) }

// String returns the name in settings.
func (d DedupScope) String() string { return dedupScopeNames[d] }

// parseName sets value to the index of text among names.
func parseName[T ~uint8](value *T, text []byte, names []string) error {
	index := slices.Index(names, string(text))
	if index < 0 {
		return fmt.Errorf("found %q; want one of %v", text, names)
	}
	*value = T(index)
	return nil
}

// Class is a class of requests: (class …). Its fields have the meanings of those of scheduler.Class; a
// PriorityWeight of 0 is replaced with 1 when the site is checked.
type Class struct {
	Name             string        `s:",arg"`
	LatencyObjective time.Duration `s:"aim,required" min:"1ms" max:"1h"`
	Deadline         time.Duration `s:"deadline,required" min:"1ms" max:"1h"`
	Idempotency      Idempotency   `s:"repeat"`
	DedupScope       DedupScope    `s:"group"`
	DedupWindow      time.Duration `s:"window" min:"0s" max:"1h"`
	OrderedByKey     bool          `s:"in-order"`
	Writes           bool          `s:"writes"`
	PriorityWeight   float64       `s:"worth" min:"0"`
	LateFraction     float64       `s:"late" min:"0" max:"1"`
}

// Check reports fields that contradict one another.
func (c *Class) Check() error {
	isKeyed := scheduler.Idempotency(c.Idempotency) == scheduler.IdempotentByKey
	switch {
	case c.LatencyObjective > c.Deadline:
		return fmt.Errorf("class %s: aim %v exceeds deadline %v", c.Name, c.LatencyObjective, c.Deadline)
	case isKeyed && c.DedupWindow == 0:
		return fmt.Errorf("class %s is keyed; it requires a (window …) in which its group deduplicates",
			c.Name)
	case !isKeyed && c.DedupWindow > 0:
		return fmt.Errorf("class %s is %v; only a keyed class has a (window …)", c.Name, c.Idempotency)
	}
	return nil
}

// schedulerClass converts the class into a scheduler.Class.
func (c *Class) schedulerClass() scheduler.Class {
	return scheduler.Class{
		LatencyObjective: c.LatencyObjective,
		Deadline:         c.Deadline,
		Idempotency:      scheduler.Idempotency(c.Idempotency),
		DedupScope:       scheduler.DedupScope(c.DedupScope),
		DedupWindow:      c.DedupWindow,
		OrderedByKey:     c.OrderedByKey,
		Writes:           c.Writes,
		PriorityWeight:   c.PriorityWeight,
		LateFraction:     c.LateFraction,
	}
}

package config

import (
	"time"

	"landingpaddle/extent"
	"landingpaddle/internal/sexpr"
)

// Defaults of the fields of Extents.
const (
	defaultMaxMembers = 16
	defaultMaxPieces  = 64
)

// Extents specify how the bytes of volumes are distributed over cells, and which requests may be merged into
// one operation: (extents …). The fields have the meanings of those of extent.Settings.
type Extents struct {
	Size            sexpr.Size    `s:"size,required" min:"1B" max:"1GiB"`
	MaxOperation    sexpr.Size    `s:"largest" min:"0B" max:"1GiB"` // 0: Size
	MaxMembers      int           `s:"members" min:"0" max:"64"`    // 0: the default
	Window          time.Duration `s:"window" min:"0s" max:"1m"`    // 0: no limit
	MaxPieces       int           `s:"pieces" min:"0" max:"1024"`   // 0: the default
	Cells           int           `s:"cells,required" min:"1" max:"65535"`
	MergingDisabled bool          `s:"alone"` // every operation has one member
}

// Check sets the defaults of fields that are 0 and reports settings that the planner rejects.
func (e *Extents) Check() error {
	if e.MaxOperation == 0 {
		e.MaxOperation = e.Size
	}
	if e.MaxMembers == 0 {
		e.MaxMembers = defaultMaxMembers
	}
	if e.MaxPieces == 0 {
		e.MaxPieces = defaultMaxPieces
	}
	return e.PlannerSettings().Check()
}

// PlannerSettings returns the settings of the extent planner.
func (e *Extents) PlannerSettings() extent.Settings {
	settings := extent.Settings{
		ExtentSize:   uint64(e.Size),
		MaxOperation: uint64(e.MaxOperation),
		MaxMembers:   e.MaxMembers,
		Window:       e.Window,
		MaxPieces:    e.MaxPieces,
		Cells:        e.Cells,
	}
	if e.MergingDisabled {
		settings.MaxMembers = 1
	}
	return settings
}

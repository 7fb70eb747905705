package extent

import (
	"fmt"
	"time"
)

// MaxMembers is the largest number of members that the frame of one operation can contain.
const MaxMembers = 64

// SettingsError reports a setting that is out of range.
type SettingsError struct {
	Setting string // field of Settings
	Reason  string
}

// Error returns the reason.
func (e *SettingsError) Error() string { return e.Reason }

// Settings are the limits of the planner and the distribution of extents over cells.
type Settings struct {
	ExtentSize   uint64        // bytes of one extent
	MaxOperation uint64        // bytes of one operation; at most ExtentSize
	MaxMembers   int           // pieces of one operation; 1: merging is disabled
	Window       time.Duration // largest difference between arrivals of a member and its leader; 0: no limit
	MaxPieces    int           // pieces of one request; a request with more is rejected
	Cells        int           // cells over which a volume's extents are distributed
}

// Check returns a *SettingsError if a setting is out of range.
func (s Settings) Check() error {
	invalid := func(setting, format string, args ...any) error {
		return &SettingsError{Setting: setting, Reason: fmt.Sprintf(format, args...)}
	}
	switch {
	case s.ExtentSize == 0 || s.MaxOperation == 0 || s.MaxOperation > s.ExtentSize:
		return invalid("MaxOperation", "the largest operation is %d bytes; want 1 to the extent's %d",
			s.MaxOperation, s.ExtentSize)
	case s.MaxMembers < 1 || s.MaxMembers > MaxMembers:
		return invalid("MaxMembers", "an operation must have 1 to %d members, not %d", MaxMembers,
			s.MaxMembers)
	case s.MaxPieces < 1 || s.Cells < 1:
		return invalid("MaxPieces", "%d pieces per request, %d cells; want 1 or more", s.MaxPieces, s.Cells)
	}
	return nil
}

// Cell returns the cell that stores an extent. A volume's extents are distributed over the cells in turn,
// starting at a cell derived from the volume, so that the first extents of all volumes are not on one node.
func (s Settings) Cell(volume, extent uint64) int {
	const goldenRatio = 0x9e3779b97f4a7c15 // 2^64 / golden ratio: consecutive volumes start at distant cells
	first := volume * goldenRatio
	return int((first>>32 + extent) % uint64(s.Cells))
}

package extent

import (
	"fmt"
	"time"
)

// MaxMembers is the largest number of members that one operation's frame can hold.
const MaxMembers = 64

// SettingsError is a setting that is out of range.
type SettingsError struct {
	Setting string // field of Settings
	Reason  string
}

// Error returns the reason.
func (e *SettingsError) Error() string { return e.Reason }

// Settings bound what the planner does.
type Settings struct {
	ExtentSize   uint64        // bytes of one extent
	MaxOperation uint64        // bytes of one operation; at most ExtentSize
	MaxMembers   int           // pieces of one operation; 1: nothing is merged
	Window       time.Duration // members of one operation arrived at most so far apart; 0: any
	MaxPieces    int           // of one request; a request of more is rejected
	Cells        int           // over which a volume's extents are distributed
}

// Check returns a *SettingsError if a setting is out of range.
func (s Settings) Check() error {
	invalid := func(setting, format string, args ...any) error {
		return &SettingsError{Setting: setting, Reason: fmt.Sprintf(format, args...)}
	}
	switch {
	case s.ExtentSize == 0 || s.MaxOperation == 0 || s.MaxOperation > s.ExtentSize:
		return invalid("MaxOperation", "an operation's %d bytes must be 1 to the extent's %d", s.MaxOperation,
			s.ExtentSize)
	case s.MaxMembers < 1 || s.MaxMembers > MaxMembers:
		return invalid("MaxMembers", "an operation has 1 to %d members, not %d", MaxMembers, s.MaxMembers)
	case s.MaxPieces < 1 || s.Cells < 1:
		return invalid("MaxPieces", "%d pieces of a request, %d cells; want 1 or more", s.MaxPieces, s.Cells)
	}
	return nil
}

// Cell returns where an extent lies. A volume's extents are distributed over the cells in turn, each volume's
// from a cell of its own on, so that the first extents of all volumes do not meet on one node.
func (s Settings) Cell(volume, extent uint64) int {
	const goldenRatio = 0x9e3779b97f4a7c15 // 2^64 over the golden ratio: neighbours lie far apart
	first := volume * goldenRatio
	return int((first>>32 + extent) % uint64(s.Cells))
}

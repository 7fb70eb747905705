package sexpr

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Size is a number of bytes; it is written with a unit, such as 4MiB.
type Size int64

// sizeUnits are the units of sizes, the largest first: B must be tried last, as the other names end with it.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// UnmarshalText parses a size such as 64KiB.
func (s *Size) UnmarshalText(text []byte) error {
	for _, unit := range sizeUnits {
		number, ok := strings.CutSuffix(string(text), unit.name)
		if !ok {
			continue
		}
		value, err := strconv.ParseFloat(number, 64)
		if err != nil || !(value >= 0) || value*float64(unit.bytes) >= math.MaxInt64 {
			break
		}
		*s = Size(value * float64(unit.bytes))
		return nil
	}
	return fmt.Errorf("%q is not a size; write a number with the unit B, KiB, MiB or GiB", text)
}

// String returns the size in the largest unit of which it is a whole number.
func (s Size) String() string {
	for _, unit := range sizeUnits {
		if int64(s) >= unit.bytes && int64(s)%unit.bytes == 0 {
			return fmt.Sprintf("%d%s", int64(s)/unit.bytes, unit.name)
		}
	}
	return fmt.Sprintf("%dB", int64(s))
}

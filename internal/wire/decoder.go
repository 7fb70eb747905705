package wire

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// decoder reads values from the front of a buffer. After the first error its methods return zero
// values.
type decoder struct {
	rest []byte // not read yet
	err  error  // the first error
}

// fail records an error unless one has been recorded before.
func (d *decoder) fail(err error) {
	if d.err == nil {
		d.err = err
	}
}

func (d *decoder) take(size int64) []byte {
	if size > int64(len(d.rest)) {
		d.fail(fmt.Errorf("%d bytes required, %d left", size, len(d.rest)))
	}
	if d.err != nil {
		return nil
	}
	taken := d.rest[:size]
	d.rest = d.rest[size:]
	return taken
}

func (d *decoder) uint(width int64) (value uint64) {
	for i, b := range d.take(width) {
		value |= uint64(b) << (8 * i)
	}
	return value
}

func (d *decoder) uint8() uint8   { return uint8(d.uint(1)) }
func (d *decoder) uint16() uint16 { return uint16(d.uint(2)) }
func (d *decoder) uint32() uint32 { return uint32(d.uint(4)) }
func (d *decoder) uint64() uint64 { return d.uint(8) }

// duration reads a time in nanoseconds.
func (d *decoder) duration() time.Duration {
	value := d.uint64()
	if value > math.MaxInt64 {
		d.fail(fmt.Errorf("time %d is out of range", value))
	}
	return time.Duration(value)
}

func (d *decoder) float32() float64 {
	value := float64(math.Float32frombits(d.uint32()))
	if math.IsNaN(value) || math.IsInf(value, 0) {
		d.fail(errors.New("a number is not finite"))
	}
	return value
}

package wire

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxListLength bounds the length of a list in the settings: a larger count is rejected before it is looped
// over. A class takes one byte on the wire, so that valid lists are far shorter.
const maxListLength = 4096

// valueReader looks up settings by their paths and converts their values. A missing value is zero.
type valueReader struct {
	values map[string]string // texts by path
	err    error             // of the first value that could not be converted
}

func (r *valueReader) fail(path string) {
	if r.err == nil {
		r.err = fmt.Errorf("invalid settings value %s=%q", path, r.values[path])
	}
}

func (r *valueReader) number(path string) float64 {
	text, ok := r.values[path]
	if !ok {
		return 0
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		r.fail(path)
		return 0
	}
	return number
}

// integer reads a whole number of at most 32 bits, which may be written as a float.
func (r *valueReader) integer(path string) int {
	number := r.number(path)
	if number != math.Trunc(number) || math.Abs(number) > math.MaxInt32 {
		r.fail(path)
		return 0
	}
	return int(number)
}

// count reads the length of a list.
func (r *valueReader) count(path string) int {
	count := r.integer(path)
	if count < 0 || count > maxListLength {
		r.fail(path)
		return 0
	}
	return count
}

// duration reads a number of nanoseconds.
func (r *valueReader) duration(path string) time.Duration {
	nanoseconds := r.number(path)
	if nanoseconds < 0 || nanoseconds >= math.MaxInt64 {
		r.fail(path)
		return 0
	}
	return time.Duration(nanoseconds)
}

func (r *valueReader) bool(path string) bool {
	switch r.values[path] {
	case "true":
		return true
	case "false", "":
		return false
	}
	r.fail(path)
	return false
}

// enum returns the index of a value in names; 0 if the value is missing.
func (r *valueReader) enum(path string, names ...string) int {
	text, ok := r.values[path]
	if !ok {
		return 0
	}
	index := slices.Index(names, text)
	if index < 0 {
		r.fail(path)
		return 0
	}
	return index
}

// list returns the elements of a list of plain values; nil if it is missing or empty.
func (r *valueReader) list(path string) []string {
	if r.values[path] == "" {
		return nil
	}
	return strings.Split(r.values[path], ",")
}

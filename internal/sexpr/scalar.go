package sexpr

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"time"
)

var (
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
	durationType        = reflect.TypeFor[time.Duration]()
)

// Texts of bool values.
const (
	textTrue  = "yes"
	textFalse = "no"
)

// Sides of a bound, as compareNumbers returns them.
const (
	below = -1
	above = 1
)

// decodeScalar decodes a plain value and checks the field's bounds.
func decodeScalar(node *Node, value reflect.Value, field fieldSpec) error {
	if node.IsList() {
		return Errorf(node.Pos, "found %s; want a plain value", brief(node))
	}
	if err := setScalar(node.Text, value); err != nil {
		return Errorf(node.Pos, "%v", err)
	}
	for _, bound := range []struct {
		text string
		side int
	}{{field.min, below}, {field.max, above}} {
		outOfRange, err := isBeyond(value, bound.text, bound.side)
		if err != nil {
			return Errorf(node.Pos, "invalid bound in the field's tag: %v", err)
		}
		if outOfRange {
			return Errorf(node.Pos, "found %s; want %s", node.Text, field.rangeText())
		}
	}
	return nil
}

// isBeyond reports whether a value is on the given side of a bound; an empty text means no bound.
func isBeyond(value reflect.Value, bound string, side int) (bool, error) {
	if bound == "" {
		return false, nil
	}
	limit := reflect.New(value.Type()).Elem()
	if err := setScalar(bound, limit); err != nil {
		return false, err
	}
	return compareNumbers(value, limit) == side, nil
}

// setScalar parses a text according to the value's type and sets the value.
func setScalar(text string, value reflect.Value) error {
	if unmarshaler, ok := value.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return unmarshaler.UnmarshalText([]byte(text))
	}
	if value.Type() == durationType {
		return setDuration(text, value)
	}
	switch value.Kind() {
	case reflect.String:
		value.SetString(text)
		return nil
	case reflect.Bool:
		return setBool(text, value)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return setInt(text, value)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return setUint(text, value)
	case reflect.Float64:
		return setFloat(text, value)
	}
	return fmt.Errorf("values of type %s are not supported", value.Type())
}

func setDuration(text string, value reflect.Value) error {
	duration, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration; write a number with a unit, such as 250ms or 2s", text)
	}
	value.SetInt(int64(duration))
	return nil
}

func setBool(text string, value reflect.Value) error {
	switch text {
	case textTrue:
		value.SetBool(true)
	case textFalse:
		value.SetBool(false)
	default:
		return fmt.Errorf("found %q; want yes or no", text)
	}
	return nil
}

func setInt(text string, value reflect.Value) error {
	bits := value.Type().Bits()
	number, err := strconv.ParseInt(text, 10, bits)
	if err != nil {
		return fmt.Errorf("%q is not an integer of %d bits", text, bits)
	}
	value.SetInt(number)
	return nil
}

func setUint(text string, value reflect.Value) error {
	bits := value.Type().Bits()
	number, err := strconv.ParseUint(text, 10, bits)
	if err != nil {
		return fmt.Errorf("%q is not a non-negative integer of %d bits", text, bits)
	}
	value.SetUint(number)
	return nil
}

func setFloat(text string, value reflect.Value) error {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		return fmt.Errorf("%q is not a finite number", text)
	}
	value.SetFloat(number)
	return nil
}

// compareNumbers returns below if a < b, above if a > b and 0 otherwise; non-numeric values are equal.
func compareNumbers(a, b reflect.Value) int {
	x, y := numberOf(a), numberOf(b)
	switch {
	case x < y:
		return below
	case x > y:
		return above
	}
	return 0
}

func numberOf(value reflect.Value) float64 {
	switch {
	case value.CanInt():
		return float64(value.Int())
	case value.CanUint():
		return float64(value.Uint())
	case value.CanFloat():
		return value.Float()
	}
	return 0
}

// scalarText formats a value in the notation that setScalar parses.
func scalarText(value reflect.Value) string {
	if node, ok := value.Interface().(*Node); ok {
		return node.String()
	}
	if marshaler, ok := value.Interface().(encoding.TextMarshaler); ok {
		if text, err := marshaler.MarshalText(); err == nil {
			return quote(string(text), false)
		}
	}
	switch typed := value.Interface().(type) {
	case bool:
		if typed {
			return textTrue
		}
		return textFalse
	case string:
		return quote(typed, false)
	case fmt.Stringer:
		return quote(typed.String(), false)
	}
	return fmt.Sprint(value.Interface())
}

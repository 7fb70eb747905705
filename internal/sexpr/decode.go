package sexpr

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Size is a number of bytes; it is written with a unit, as 4MiB.
type Size int64

var sizeUnits = []struct {
	name  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// UnmarshalText reads a size such as 64KiB.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits {
		number, ok := strings.CutSuffix(string(text), u.name)
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(number, 64)
		if err != nil || !(v >= 0) || v*float64(u.bytes) >= math.MaxInt64 {
			break
		}
		*s = Size(v * float64(u.bytes))
		return nil
	}
	return fmt.Errorf("%q is no size; write a number with B, KiB, MiB or GiB", text)
}

func (s Size) String() string {
	for _, u := range sizeUnits {
		if int64(s) >= u.bytes && int64(s)%u.bytes == 0 {
			return fmt.Sprintf("%d%s", int64(s)/u.bytes, u.name)
		}
	}
	return fmt.Sprintf("%dB", int64(s))
}

// Checker is implemented by structs whose fields bind one another; its error gets the form's place.
type Checker interface{ Check() error }

// Decode fills the struct that out points to from a list whose head has been read already. Fields say by
// their tag how they are written:
//
//	`s:"name"`           (name value), a bool also as (name); slices of scalars as (name a b c);
//	                     structs as (name fields…), slices of structs as that form repeated
//	`s:"name,required"`  missing is an error
//	`s:",arg"`           the next plain value after the head, required
//	`s:",rest"`          a []string or []*Node of all that is left
//	`s:",pos"`           a Pos: where the form stands
//	`min:"…" max:"…"`    bounds, in the field's own notation
//
// Unknown and doubled forms are errors. What is not written keeps the value that is there: the default.
func Decode(form *Node, out any) error {
	return decodeStruct(form, reflect.ValueOf(out).Elem())
}

// One decodes a file that must hold just one form with that head.
func DecodeOne(nodes []*Node, name, head string, out any) error {
	if len(nodes) == 0 {
		return Errorf(Pos{name, 1, 1}, "nothing here; want one (%s …)", head)
	}
	if nodes[0].Head() != head {
		return Errorf(nodes[0].Pos, "found %s; want (%s …)", brief(nodes[0]), head)
	}
	if len(nodes) > 1 {
		return Errorf(nodes[1].Pos, "found %s after the one (%s …)", brief(nodes[1]), head)
	}
	return Decode(nodes[0], out)
}

type field struct {
	index    int
	name     string
	option   string
	min, max string
}

func fieldsOf(t reflect.Type) []field {
	var out []field
	for i := range t.NumField() {
		tag, ok := t.Field(i).Tag.Lookup("s")
		if !ok {
			continue
		}
		name, option, _ := strings.Cut(tag, ",")
		out = append(out, field{i, name, option, t.Field(i).Tag.Get("min"), t.Field(i).Tag.Get("max")})
	}
	return out
}

func decodeStruct(form *Node, v reflect.Value) error {
	if !form.IsList() || form.Head() == "" {
		return Errorf(form.Pos, "found %s; want a list with a name first", brief(form))
	}
	fields, rest, head := fieldsOf(v.Type()), form.List[1:], form.Head()
	var names []string
	for _, f := range fields {
		switch f.option {
		case "pos":
			v.Field(f.index).Set(reflect.ValueOf(form.Pos))
		case "arg":
			if len(rest) == 0 || rest[0].IsList() {
				return Errorf(form.Pos, "(%s …) lacks its %s", head, v.Type().Field(f.index).Name)
			}
			if err := decodeScalar(rest[0], v.Field(f.index), f); err != nil {
				return err
			}
			rest = rest[1:]
		case "rest":
			if err := decodeRest(rest, v.Field(f.index)); err != nil {
				return err
			}
			rest = nil
		default:
			names = append(names, f.name)
		}
	}
	seen := map[string]bool{}
	for _, n := range rest {
		i := slices.IndexFunc(fields, func(f field) bool { return f.name != "" && f.name == n.Head() })
		if i < 0 {
			return Errorf(n.Pos, "(%s …) has no %s; it knows %s", head, brief(n), strings.Join(names, ", "))
		}
		f, fv := fields[i], v.Field(fields[i].index)
		repeats := fv.Kind() == reflect.Slice && structUnder(fv.Type().Elem())
		if seen[f.name] && !repeats {
			return Errorf(n.Pos, "(%s …) stands twice in (%s …)", f.name, head)
		}
		if repeats && !seen[f.name] {
			fv.SetZero() // what is written takes the place of the default's rows
		}
		seen[f.name] = true
		if err := decodeField(n, fv, f); err != nil {
			return err
		}
	}
	for _, f := range fields {
		if f.option == "required" && !seen[f.name] {
			return Errorf(form.Pos, "(%s …) lacks its (%s …)", head, f.name)
		}
	}
	if c, ok := v.Addr().Interface().(Checker); ok {
		return WrapError(form.Pos, c.Check())
	}
	return nil
}

// structUnder tells whether a type is written as a form of its own.
func structUnder(t reflect.Type) bool {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	return t.Kind() == reflect.Struct && !reflect.PointerTo(t).Implements(textType)
}

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

func decodeField(n *Node, v reflect.Value, f field) error {
	switch {
	case v.Kind() == reflect.Pointer && structUnder(v.Type()):
		v.Set(reflect.New(v.Type().Elem()))
		return decodeStruct(n, v.Elem())
	case structUnder(v.Type()):
		return decodeStruct(n, v)
	case v.Kind() == reflect.Slice && structUnder(v.Type().Elem()):
		row := reflect.New(v.Type().Elem()).Elem()
		if row.Kind() == reflect.Pointer {
			row.Set(reflect.New(row.Type().Elem()))
			if err := decodeStruct(n, row.Elem()); err != nil {
				return err
			}
		} else if err := decodeStruct(n, row); err != nil {
			return err
		}
		v.Set(reflect.Append(v, row))
		return nil
	case v.Kind() == reflect.Slice:
		v.SetZero()
		for _, t := range n.List[1:] {
			row := reflect.New(v.Type().Elem()).Elem()
			if err := decodeScalar(t, row, f); err != nil {
				return err
			}
			v.Set(reflect.Append(v, row))
		}
		return nil
	case v.Kind() == reflect.Bool && len(n.List) == 1:
		v.SetBool(true)
		return nil
	}
	if len(n.List) != 2 {
		return Errorf(n.Pos, "(%s …) has %d values; want one", f.name, len(n.List)-1)
	}
	return decodeScalar(n.List[1], v, f)
}

func decodeRest(rest []*Node, v reflect.Value) error {
	if v.Type() == reflect.TypeFor[[]*Node]() {
		v.Set(reflect.ValueOf(rest))
		return nil
	}
	v.SetZero()
	for _, n := range rest {
		row := reflect.New(v.Type().Elem()).Elem()
		if err := decodeScalar(n, row, field{}); err != nil {
			return err
		}
		v.Set(reflect.Append(v, row))
	}
	return nil
}

var durationType = reflect.TypeFor[time.Duration]()

func decodeScalar(n *Node, v reflect.Value, f field) error {
	if n.IsList() {
		return Errorf(n.Pos, "found %s; want a plain value", brief(n))
	}
	if err := setScalar(n.Text, v); err != nil {
		return Errorf(n.Pos, "%v", err)
	}
	for _, bound := range []struct {
		text string
		sign int
	}{{f.min, -1}, {f.max, 1}} {
		if bound.text == "" {
			continue
		}
		edge := reflect.New(v.Type()).Elem()
		if err := setScalar(bound.text, edge); err != nil {
			return Errorf(n.Pos, "bad bound in the program: %v", err)
		}
		if compare(v, edge) == bound.sign {
			return Errorf(n.Pos, "found %s; want %s", n.Text, rangeText(f))
		}
	}
	return nil
}

func rangeText(f field) string {
	switch {
	case f.min == "":
		return "at most " + f.max
	case f.max == "":
		return "at least " + f.min
	}
	return f.min + " to " + f.max
}

func compare(a, b reflect.Value) int {
	x, y := number(a), number(b)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}

func number(v reflect.Value) float64 {
	switch {
	case v.CanInt():
		return float64(v.Int())
	case v.CanUint():
		return float64(v.Uint())
	case v.CanFloat():
		return v.Float()
	}
	return 0
}

func setScalar(text string, v reflect.Value) error {
	if t, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return t.UnmarshalText([]byte(text))
	}
	if v.Type() == durationType {
		d, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("%q is no time; write a number with a unit, as 250ms or 2s", text)
		}
		v.SetInt(int64(d))
		return nil
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		switch text {
		case "yes":
			v.SetBool(true)
		case "no":
			v.SetBool(false)
		default:
			return fmt.Errorf("found %q; want yes or no", text)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		i, err := strconv.ParseInt(text, 10, v.Type().Bits())
		if err != nil {
			return fmt.Errorf("%q is no whole number of %d bits", text, v.Type().Bits())
		}
		v.SetInt(i)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		i, err := strconv.ParseUint(text, 10, v.Type().Bits())
		if err != nil {
			return fmt.Errorf("%q is no whole number of %d bits from 0 on", text, v.Type().Bits())
		}
		v.SetUint(i)
	case reflect.Float64:
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			return fmt.Errorf("%q is no number", text)
		}
		v.SetFloat(x)
	default:
		return fmt.Errorf("a %s cannot be read", v.Type())
	}
	return nil
}

// brief shows a node in an error.
func brief(n *Node) string {
	if n.IsList() {
		if head := n.Head(); head != "" {
			return "(" + head + " …)"
		}
		return "a list without a name"
	}
	text := n.String()
	if len(text) > 40 {
		text = text[:40] + "…"
	}
	return text
}

// Print writes a struct as the form that Decode reads: all fields in force, defaults included.
func Print(head string, v any) string {
	var b strings.Builder
	printStruct(&b, head, reflect.Indirect(reflect.ValueOf(v)), 0)
	b.WriteByte('\n')
	return b.String()
}

func printStruct(b *strings.Builder, head string, v reflect.Value, depth int) {
	indent := "\n" + strings.Repeat("  ", depth+1)
	b.WriteString("(" + head)
	for _, f := range fieldsOf(v.Type()) {
		fv := v.Field(f.index)
		switch {
		case f.option == "pos" || unset(fv, f):
		case f.option == "arg":
			b.WriteString(" " + scalarText(fv))
		case f.option == "rest":
			for i := range fv.Len() {
				b.WriteString(" " + scalarText(fv.Index(i)))
			}
		case fv.Kind() == reflect.Pointer && fv.IsNil():
		case structUnder(fv.Type()):
			b.WriteString(indent)
			printStruct(b, f.name, reflect.Indirect(fv), depth+1)
		case fv.Kind() == reflect.Slice && structUnder(fv.Type().Elem()):
			for i := range fv.Len() {
				b.WriteString(indent)
				printStruct(b, f.name, reflect.Indirect(fv.Index(i)), depth+1)
			}
		case fv.Kind() == reflect.Slice:
			b.WriteString(indent + "(" + f.name)
			for i := range fv.Len() {
				b.WriteString(" " + scalarText(fv.Index(i)))
			}
			b.WriteString(")")
		default:
			b.WriteString(indent + "(" + f.name + " " + scalarText(fv) + ")")
		}
	}
	b.WriteString(")")
}

// unset tells whether a value is none that could have been written: zero where zero is out of bounds, or a
// type of its own that has no text.
func unset(v reflect.Value, f field) bool {
	if m, ok := v.Interface().(encoding.TextMarshaler); ok {
		text, err := m.MarshalText()
		return err == nil && len(text) == 0
	}
	if f.min == "" || !v.IsZero() || v.Kind() == reflect.Slice {
		return false
	}
	edge := reflect.New(v.Type()).Elem()
	return setScalar(f.min, edge) == nil && compare(v, edge) < 0
}

func scalarText(v reflect.Value) string {
	if n, ok := v.Interface().(*Node); ok {
		return n.String()
	}
	if t, ok := v.Interface().(encoding.TextMarshaler); ok {
		if text, err := t.MarshalText(); err == nil {
			return quote(string(text), false)
		}
	}
	switch x := v.Interface().(type) {
	case bool:
		if x {
			return "yes"
		}
		return "no"
	case string:
		return quote(x, false)
	case fmt.Stringer:
		return quote(x.String(), false)
	}
	return fmt.Sprint(v.Interface())
}

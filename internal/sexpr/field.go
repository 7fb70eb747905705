package sexpr

import (
	"reflect"
	"strings"
)

// Options of a field's s tag; Decode describes them.
const (
	optionArg      = "arg"
	optionPos      = "pos"
	optionRest     = "rest"
	optionRequired = "required"
)

// fieldSpec describes a struct's field by its tags.
type fieldSpec struct {
	index    int    // of the field in the struct
	name     string // of the form; "" for a positional field
	option   string // "": none
	min, max string // bounds; "" for none
}

// fieldsOf returns the fields of a struct that have an s tag, in their order.
func fieldsOf(structType reflect.Type) []fieldSpec {
	var fields []fieldSpec
	for i := range structType.NumField() {
		tags := structType.Field(i).Tag
		tag, ok := tags.Lookup("s")
		if !ok {
			continue
		}
		name, option, _ := strings.Cut(tag, ",")
		fields = append(fields,
			fieldSpec{index: i, name: name, option: option, min: tags.Get("min"), max: tags.Get("max")})
	}
	return fields
}

// isPositional reports whether the field has no named form: its value is an argument, the remaining nodes or
// the form's position.
func (f fieldSpec) isPositional() bool {
	return f.option == optionPos || f.option == optionArg || f.option == optionRest
}

// rangeText formats the field's bounds for error messages.
func (f fieldSpec) rangeText() string {
	switch {
	case f.min == "":
		return "at most " + f.max
	case f.max == "":
		return "at least " + f.min
	}
	return f.min + " to " + f.max
}

// isForm reports whether a value of the type is written as a separate form: it is a struct, or a pointer to
// one, that does not implement encoding.TextUnmarshaler.
func isForm(valueType reflect.Type) bool {
	if valueType.Kind() == reflect.Pointer {
		valueType = valueType.Elem()
	}
	return valueType.Kind() == reflect.Struct && !reflect.PointerTo(valueType).Implements(textUnmarshalerType)
}

// isRepeatedForm reports whether a value of the type is written as one form for each element.
func isRepeatedForm(valueType reflect.Type) bool {
	return valueType.Kind() == reflect.Slice && isForm(valueType.Elem())
}

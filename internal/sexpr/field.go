package sexpr

import (
	"reflect"
	"strings"
)

// Options of a field's tag.
const (
	optionArg      = "arg"
	optionPos      = "pos"
	optionRest     = "rest"
	optionRequired = "required"
)

// fieldSpec is what the tags of a struct's field say.
type fieldSpec struct {
	index    int    // of the field in its struct
	name     string // of the form; "" for a positional field
	option   string
	min, max string // bounds; "" for none
}

// fieldsOf returns the fields of a struct that are part of its form.
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

// isPositional reports whether the field is not written as a form with its name.
func (f fieldSpec) isPositional() bool {
	return f.option == optionPos || f.option == optionArg || f.option == optionRest
}

// rangeText returns the field's bounds as errors show them.
func (f fieldSpec) rangeText() string {
	switch {
	case f.min == "":
		return "at most " + f.max
	case f.max == "":
		return "at least " + f.min
	}
	return f.min + " to " + f.max
}

// isForm reports whether a value of the type is written as a form of its own: it is a struct, or a pointer to
// one, that is not written as a text.
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

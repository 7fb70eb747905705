package sexpr

import (
	"encoding"
	"reflect"
	"strings"
)

// Print formats a struct in the form that Decode reads, with the values of all fields, defaults included. It
// omits optional forms that are nil and values that Decode cannot have set.
func Print(head string, settings any) string {
	p := &printer{}
	p.printStruct(head, reflect.Indirect(reflect.ValueOf(settings)), 0)
	p.text.WriteByte('\n')
	return p.text.String()
}

type printer struct{ text strings.Builder }

func (p *printer) printStruct(head string, value reflect.Value, depth int) {
	p.text.WriteString("(" + head)
	for _, field := range fieldsOf(value.Type()) {
		fieldValue := value.Field(field.index)
		if field.option == optionPos || isUnset(fieldValue, field) {
			continue
		}
		p.printField(fieldValue, field, depth)
	}
	p.text.WriteString(")")
}

func (p *printer) printField(value reflect.Value, field fieldSpec, depth int) {
	switch {
	case field.option == optionArg:
		p.text.WriteString(" " + scalarText(value))
	case field.option == optionRest:
		p.printElements(value)
	case value.Kind() == reflect.Pointer && value.IsNil(): // an optional form that is not set
	case isForm(value.Type()):
		p.startLine(depth)
		p.printStruct(field.name, reflect.Indirect(value), depth+1)
	case isRepeatedForm(value.Type()):
		for i := range value.Len() {
			p.startLine(depth)
			p.printStruct(field.name, reflect.Indirect(value.Index(i)), depth+1)
		}
	case value.Kind() == reflect.Slice:
		p.startLine(depth)
		p.text.WriteString("(" + field.name)
		p.printElements(value)
		p.text.WriteString(")")
	default:
		p.startLine(depth)
		p.text.WriteString("(" + field.name + " " + scalarText(value) + ")")
	}
}

func (p *printer) startLine(depth int) {
	p.text.WriteString("\n" + strings.Repeat("  ", depth+1))
}

func (p *printer) printElements(list reflect.Value) {
	for i := range list.Len() {
		p.text.WriteString(" " + scalarText(list.Index(i)))
	}
}

// isUnset reports whether a value cannot have been decoded from a text: a zero below the field's minimum, or
// a value whose MarshalText returns an empty text.
func isUnset(value reflect.Value, field fieldSpec) bool {
	if marshaler, ok := value.Interface().(encoding.TextMarshaler); ok {
		text, err := marshaler.MarshalText()
		return err == nil && len(text) == 0
	}
	if !value.IsZero() || value.Kind() == reflect.Slice {
		return false
	}
	isBelow, err := isBeyond(value, field.min, below)
	return err == nil && isBelow
}

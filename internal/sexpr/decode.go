package sexpr

import (
	"reflect"
	"slices"
	"strings"
)

// Checker is implemented by structs whose fields depend on one another. Decode calls Check when the struct is
// filled, and adds the form's position to its error. Check may also replace zero values with defaults.
type Checker interface{ Check() error }

// Decode fills the struct that out points to from a list, whose head the caller has checked. A field's
// tag specifies how the field is written:
//
//	`s:"name"`           (name value), a bool also as (name); slices of scalars as (name a b c);
//	                     structs as (name fields…), slices of structs as that form repeated
//	`s:"name,required"`  likewise; a missing form is an error
//	`s:",arg"`           the next plain value after the head, required
//	`s:",rest"`          a []string or []*Node of the remaining nodes
//	`s:",pos"`           a Pos, set to the position of the form
//	`min:"…" max:"…"`    inclusive bounds, in the notation of the field's values
//
// Unknown forms are errors, as are duplicates of forms that may not be repeated. A field that is not written
// keeps its value, the default. Errors have a position: they are of type *Error, or wrap one that a Checker
// returned.
func Decode(form *Node, out any) error {
	return decodeStruct(form, reflect.ValueOf(out).Elem())
}

// DecodeOne decodes the nodes of a file that must contain exactly one form, with the given head; name is the
// file name in the position of an error if there are no nodes.
func DecodeOne(nodes []*Node, name, head string, out any) error {
	if len(nodes) == 0 {
		return Errorf(startOf(name), "found no form; want one (%s …)", head)
	}
	if nodes[0].Head() != head {
		return Errorf(nodes[0].Pos, "found %s; want (%s …)", brief(nodes[0]), head)
	}
	if len(nodes) > 1 {
		return Errorf(nodes[1].Pos, "found %s after (%s …); want one form", brief(nodes[1]), head)
	}
	return Decode(nodes[0], out)
}

func decodeStruct(form *Node, value reflect.Value) error {
	if !form.IsList() || form.Head() == "" {
		return Errorf(form.Pos, "found %s; want a list with a name first", brief(form))
	}
	decoder := &structDecoder{
		form:   form,
		value:  value,
		fields: fieldsOf(value.Type()),
		seen:   map[string]bool{},
	}
	rest, err := decoder.decodePositional(form.List[1:])
	if err != nil {
		return err
	}
	if err := decoder.decodeNamed(rest); err != nil {
		return err
	}
	if err := decoder.checkRequired(); err != nil {
		return err
	}
	if checker, ok := value.Addr().Interface().(Checker); ok {
		return WithPos(form.Pos, checker.Check())
	}
	return nil
}

// structDecoder decodes one form into one struct.
type structDecoder struct {
	form   *Node
	value  reflect.Value
	fields []fieldSpec
	seen   map[string]bool // names of the fields found so far
}

// decodePositional sets the fields that have no named form, and returns the remaining nodes.
func (d *structDecoder) decodePositional(rest []*Node) ([]*Node, error) {
	for _, field := range d.fields {
		value := d.value.Field(field.index)
		switch field.option {
		case optionPos:
			value.Set(reflect.ValueOf(d.form.Pos))
		case optionArg:
			if len(rest) == 0 || rest[0].IsList() {
				name := d.value.Type().Field(field.index).Name
				return nil, Errorf(d.form.Pos, "(%s …) is missing its %s", d.form.Head(), name)
			}
			if err := decodeScalar(rest[0], value, field); err != nil {
				return nil, err
			}
			rest = rest[1:]
		case optionRest:
			if err := decodeRest(rest, value); err != nil {
				return nil, err
			}
			rest = nil
		}
	}
	return rest, nil
}

// decodeNamed decodes the forms whose heads are names of fields.
func (d *structDecoder) decodeNamed(nodes []*Node) error {
	for _, node := range nodes {
		index := slices.IndexFunc(d.fields, func(field fieldSpec) bool {
			return field.name != "" && field.name == node.Head()
		})
		if index < 0 {
			return Errorf(node.Pos, "(%s …) has no %s; it accepts %s",
				d.form.Head(), brief(node), d.acceptedNames())
		}
		field := d.fields[index]
		value := d.value.Field(field.index)
		isRepeated := isRepeatedForm(value.Type())
		if d.seen[field.name] && !isRepeated {
			return Errorf(node.Pos, "duplicate (%s …) in (%s …)", field.name, d.form.Head())
		}
		if isRepeated && !d.seen[field.name] {
			value.SetZero() // the written forms replace those of the default
		}
		d.seen[field.name] = true
		if err := decodeField(node, value, field); err != nil {
			return err
		}
	}
	return nil
}

func (d *structDecoder) acceptedNames() string {
	var names []string
	for _, field := range d.fields {
		if !field.isPositional() {
			names = append(names, field.name)
		}
	}
	return strings.Join(names, ", ")
}

func (d *structDecoder) checkRequired() error {
	for _, field := range d.fields {
		if field.option == optionRequired && !d.seen[field.name] {
			return Errorf(d.form.Pos, "(%s …) is missing (%s …)", d.form.Head(), field.name)
		}
	}
	return nil
}

// decodeField decodes a form whose head is the field's name into the field.
func decodeField(node *Node, value reflect.Value, field fieldSpec) error {
	switch {
	case isForm(value.Type()):
		return decodeForm(node, value)
	case isRepeatedForm(value.Type()):
		element := reflect.New(value.Type().Elem()).Elem()
		if err := decodeForm(node, element); err != nil {
			return err
		}
		value.Set(reflect.Append(value, element))
		return nil
	case value.Kind() == reflect.Slice:
		return decodeScalars(node.List[1:], value, field)
	case value.Kind() == reflect.Bool && len(node.List) == 1:
		value.SetBool(true)
		return nil
	}
	if len(node.List) != 2 {
		return Errorf(node.Pos, "(%s …) has %d values; want one", field.name, len(node.List)-1)
	}
	return decodeScalar(node.List[1], value, field)
}

// decodeForm decodes a form into a struct, or into a newly allocated one if the value is a pointer.
func decodeForm(node *Node, value reflect.Value) error {
	if value.Kind() != reflect.Pointer {
		return decodeStruct(node, value)
	}
	value.Set(reflect.New(value.Type().Elem()))
	return decodeStruct(node, value.Elem())
}

// decodeScalars replaces the contents of a slice with the plain values of the nodes.
func decodeScalars(nodes []*Node, slice reflect.Value, field fieldSpec) error {
	slice.SetZero()
	for _, node := range nodes {
		element := reflect.New(slice.Type().Elem()).Elem()
		if err := decodeScalar(node, element, field); err != nil {
			return err
		}
		slice.Set(reflect.Append(slice, element))
	}
	return nil
}

// decodeRest decodes the remaining nodes into a field with the option rest.
func decodeRest(nodes []*Node, slice reflect.Value) error {
	if slice.Type() == reflect.TypeFor[[]*Node]() {
		slice.Set(reflect.ValueOf(nodes))
		return nil
	}
	return decodeScalars(nodes, slice, fieldSpec{})
}

package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// maxNesting bounds the nesting depth of settings.
const maxNesting = 16

// ParseNested parses settings in nested JSON form. They are flattened to the path=value form and converted by
// the same mapping as those of ParseSettings.
func ParseNested(doc []byte) (Site, error) {
	settings, err := decodeObject(doc)
	if err != nil {
		return Site{}, fmt.Errorf("settings: %w", err)
	}
	reader := &valueReader{values: map[string]string{}}
	if err := flatten(reader.values, "", settings, 0); err != nil {
		return Site{}, fmt.Errorf("settings: %w", err)
	}
	return reader.site()
}

// decodeObject decodes a document that holds exactly one JSON object.
func decodeObject(doc []byte) (map[string]any, error) {
	decoder := json.NewDecoder(bytes.NewReader(doc))
	decoder.UseNumber() // keeps the text of a number as it was written
	var object map[string]any
	if err := decoder.Decode(&object); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one JSON value")
	}
	return object, nil
}

// flatten stores a value under its path: plain values as they are, lists of them joined by commas, lists of
// objects under .count and .0, .1 and so on. A null is omitted.
func flatten(values map[string]string, path string, value any, depth int) error {
	if depth > maxNesting {
		return fmt.Errorf("%s: nested too deeply", path)
	}
	switch value := value.(type) {
	case map[string]any:
		return flattenObject(values, path, value, depth)
	case []any:
		return flattenList(values, path, value, depth)
	case nil:
		return nil
	}
	text, err := plainText(value)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	values[path] = text
	return nil
}

// flattenObject visits keys in sorted order, so that the same one of several errors is always reported.
func flattenObject(values map[string]string, path string, object map[string]any, depth int) error {
	for _, key := range slices.Sorted(maps.Keys(object)) {
		keyPath := strings.TrimPrefix(path+"."+key, ".")
		if err := flatten(values, keyPath, object[key], depth+1); err != nil {
			return err
		}
	}
	return nil
}

func flattenList(values map[string]string, path string, list []any, depth int) error {
	var plainValues []string
	objects := 0
	for i, element := range list {
		if _, ok := element.(map[string]any); ok {
			objects++
			if err := flatten(values, path+"."+strconv.Itoa(i), element, depth+1); err != nil {
				return err
			}
			continue
		}
		text, err := plainText(element)
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		plainValues = append(plainValues, listElement(text))
	}
	switch {
	case objects == 0:
		values[path] = strings.Join(plainValues, ",")
	case len(plainValues) > 0:
		return fmt.Errorf("%s: objects and plain values in one list", path)
	default:
		values[path+".count"] = strconv.Itoa(objects)
	}
	return nil
}

// plainText returns a plain value (a string, number or boolean) as text of the path=value form.
func plainText(value any) (string, error) {
	switch value := value.(type) {
	case string:
		return value, nil
	case json.Number:
		return value.String(), nil
	case bool:
		return strconv.FormatBool(value), nil
	}
	return "", fmt.Errorf("%T is not a plain value", value)
}

// listElement returns a text as an element of a list of plain values: it replaces commas and spaces, which
// separate elements.
func listElement(text string) string { return strings.NewReplacer(",", "_", " ", "_").Replace(text) }

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
	"time"

	"landingpaddle/scheduler"
)

// mostDepth bounds how deep nested settings may go.
const mostDepth = 16

// Site is an instance's settings with what a running program needs of them beside the module's: names as
// clients and the list use them, and the figures of connections.
type Site struct {
	Settings            scheduler.Settings
	Classes, Plans      []string
	Zones, MachineTypes []string
	Shards              int
	MaxOpenRequests     int
	IdleTimeout         time.Duration
	AnswerSlack         time.Duration
}

// ParseNested reads the settings of a first message in their nested JSON form. They are flattened to the
// path=value form and read by the same mapping.
func ParseNested(doc []byte) (Site, error) {
	dec := json.NewDecoder(bytes.NewReader(doc))
	dec.UseNumber() // so that a number's text stays as it was written
	var tree map[string]any
	if err := dec.Decode(&tree); err != nil {
		return Site{}, fmt.Errorf("settings: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Site{}, errors.New("settings: more than one JSON value")
	}
	p := &parser{vals: map[string]string{}}
	if err := flatten(p.vals, "", tree, 0); err != nil {
		return Site{}, fmt.Errorf("settings: %w", err)
	}
	return p.site()
}

// flatten writes a value under its path: plain values as they are, lists of them joined by commas, lists of
// objects under .count and .0, .1 and so on.
func flatten(to map[string]string, path string, value any, depth int) error {
	if depth > mostDepth {
		return fmt.Errorf("%s: nested too deep", path)
	}
	switch v := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			if err := flatten(to, strings.TrimPrefix(path+"."+key, "."), v[key], depth+1); err != nil {
				return err
			}
		}
		return nil
	case []any:
		var words []string
		objects := 0
		for i, item := range v {
			if _, ok := item.(map[string]any); ok {
				objects++
				if err := flatten(to, path+"."+strconv.Itoa(i), item, depth+1); err != nil {
					return err
				}
				continue
			}
			word, err := plain(item)
			if err != nil {
				return fmt.Errorf("%s: %w", path, err)
			}
			words = append(words, listed(word))
		}
		if objects > 0 {
			if len(words) > 0 {
				return fmt.Errorf("%s: objects and plain values in one list", path)
			}
			to[path+".count"] = strconv.Itoa(objects)
			return nil
		}
		to[path] = strings.Join(words, ",")
		return nil
	case nil:
		return nil // as if it were not there
	}
	word, err := plain(value)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	to[path] = word
	return nil
}

func plain(value any) (string, error) {
	switch v := value.(type) {
	case string:
		return v, nil
	case json.Number:
		return v.String(), nil
	case bool:
		return strconv.FormatBool(v), nil
	}
	return "", fmt.Errorf("%T is no plain value", value)
}

// listed is a word as it stands in a list of plain values.
func listed(word string) string { return strings.NewReplacer(",", "_", " ", "_").Replace(word) }

// site reads what ParseSettings reads, and the rest of Site.
func (p *parser) site() (Site, error) {
	s := Site{Settings: p.settings(), Zones: p.list("failure_domains"), MachineTypes: p.list("kinds"),
		Shards: p.count("domain.shards"), MaxOpenRequests: p.whole("limits.max_open"),
		IdleTimeout: p.span("limits.idle_close_ns"), AnswerSlack: p.span("rules.answer_slack_ns")}
	for i := range s.Settings.Classes {
		s.Classes = append(s.Classes, p.vals[fmt.Sprintf("classes.%d.name", i)])
	}
	for i := range s.Settings.Plans {
		s.Plans = append(s.Plans, p.vals[fmt.Sprintf("contracts.%d.name", i)])
	}
	if p.err == nil && len(s.Classes) == 0 {
		p.err = errors.New("settings name no classes")
	}
	return s, p.err
}

// Zone is the number of a zone as the list names it; one that the settings do not name is no zone of theirs.
func (s *Site) Zone(name string) uint8 { return place(s.Zones, name) }

// Kind is the number of a machine kind.
func (s *Site) MachineType(name string) uint8 { return place(s.MachineTypes, name) }

func place(names []string, name string) uint8 {
	if i := slices.Index(names, listed(name)); i >= 0 && i < 255 {
		return uint8(i)
	}
	return 255
}

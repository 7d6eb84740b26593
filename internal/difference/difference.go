// Package difference compares two declarations. It identifies list items by name
// rather than by position.
package difference

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/configuration"
)

// Difference is one value that differs between two declarations.
type Line struct {
	// Path identifies the value, such as tenants[studio-a].limits.burst.
	Path string `json:"path"`
	// Before and After are JSON; empty means that the value is absent.
	Before string `json:"before"`
	After  string `json:"after"`
}

// String formats the difference with + for added, - for removed and ~ for
// changed values.
func (line Line) String() string {
	switch {
	case line.Before == "":
		return fmt.Sprintf("+ %s: %s", line.Path, line.After)
	case line.After == "":
		return fmt.Sprintf("- %s: %s", line.Path, line.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", line.Path, line.Before, line.After)
	}
}

// Compare returns the differences in order of path. Before may be nil.
func Between(before, after *configuration.Declaration) ([]Line, error) {
	old, err := flatten(before)
	if err != nil {
		return nil, err
	}
	new, err := flatten(after)
	if err != nil {
		return nil, err
	}
	lines := []Line{}
	for path, value := range old {
		if new[path] != value {
			lines = append(lines, Line{Path: path, Before: value, After: new[path]})
		}
	}
	for path, value := range new {
		if _, found := old[path]; !found {
			lines = append(lines, Line{Path: path, After: value})
		}
	}
	sort.Slice(lines, func(i, j int) bool { return lines[i].Path < lines[j].Path })
	return lines, nil
}

func flatten(declaration *configuration.Declaration) (map[string]string, error) {
	values := map[string]string{}
	if declaration == nil {
		return values, nil
	}
	shown := *declaration
	shown.Claims.Previous = nil
	data, err := json.Marshal(shown)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return nil, errors.Trace(err)
	}
	collect(values, "", tree)
	return values, nil
}

func collect(values map[string]string, path string, node any) {
	switch node := node.(type) {
	case map[string]any:
		for key, child := range node {
			if path != "" {
				key = path + "." + key
			}
			collect(values, key, child)
		}
	case []any:
		for index, child := range node {
			collect(values, fmt.Sprintf("%s[%s]", path, label(index, child)), child)
		}
	case nil:
	default:
		data, _ := json.Marshal(node)
		values[path] = string(data)
	}
}

// itemLabel identifies a list item by its name, by its method and path, or by its
// value if it is a string, so that a change of order is not a difference. Other
// items are identified by index.
func label(index int, item any) string {
	switch item := item.(type) {
	case map[string]any:
		if name, ok := item["name"].(string); ok {
			return name
		}
		if path, ok := item["path"].(string); ok {
			return fmt.Sprint(item["method"], " ", path)
		}
	case string:
		return item
	}
	return fmt.Sprint(index)
}

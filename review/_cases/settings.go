package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// The bounds of the small deployment kuusisto-cr that the cases check.
const (
	drainMS   = 2000
	contactMS = 3000
)

// settingsOf returns the fields of the settings of a node, as the platform has them on the deployment kuusisto-cr, with
// loopback addresses.
func settingsOf(name, zone, ip string, ports nodePorts, storeAddress string) map[string]any {
	return map[string]any{
		"node_name": name, "zone": zone, "ip": ip, "heartbeat_ms": int(heartbeat.Milliseconds()),
		"zones":      map[string]any{"espoo-a": "fi-south", "espoo-b": "fi-south", "vantaa-c": "fi-south"},
		"listen":     map[string]any{"front": fmt.Sprintf("%s:%d", ip, ports.front), "ready": fmt.Sprintf("%s:%d", ip, ports.ready)},
		"limits":     map[string]any{"cpu_share": 0.4, "memory_mb": 284, "max_fds": 4100},
		"port_range": []any{ports.peers, ports.peers + 15},
		"platform":   map[string]any{"address": storeAddress, "ttl_min_ms": 1000},
		"bounds": map[string]any{
			"config_ms": 2000, "revoke_ms": 5000, "drain_ms": drainMS, "version_ms": 8000, "contact_ms": contactMS, "lease_ms": 3000,
			"grace_s": 8, "retry_budget_ratio": 0.2, "budget_extra": 54, "budget_window_s": 10,
		},
	}
}

var (
	section = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}\n?(.*?)\{\{/[a-z_.0-9]+\}\}\n?`)
	gap     = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// fill fills in a template of settings as the platform does, as far as deploy/settings.yaml uses it: gaps, gaps as JSON,
// and sections that stand only if a field is given.
func fill(template string, fields map[string]any) string {
	text := section.ReplaceAllStringFunc(template, func(match string) string {
		parts := section.FindStringSubmatch(match)
		if field(fields, parts[1]) == nil {
			return ""
		}
		return parts[2]
	})
	return gap.ReplaceAllStringFunc(text, func(match string) string {
		parts := gap.FindStringSubmatch(match)
		value := field(fields, parts[1])
		if parts[2] == "" {
			if value == nil {
				return ""
			}
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			return ""
		}
		return string(encoded)
	})
}

// field returns the field with a dotted path, or nil.
func field(fields map[string]any, path string) any {
	var value any = fields
	for name := range strings.SplitSeq(path, ".") {
		switch container := value.(type) {
		case map[string]any:
			value = container[name]
		case []any:
			index, err := strconv.Atoi(name)
			if err != nil || index >= len(container) {
				return nil
			}
			value = container[index]
		default:
			return nil
		}
	}
	return value
}

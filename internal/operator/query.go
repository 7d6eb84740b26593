package operator

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/endpoint"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/membership"
	"github.com/cloverrail/cloverrail/internal/node"
)

// Table is the result of a query.
type Table struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

// View provides the data that queries read.
type View interface {
	Snapshot() *configuration.Snapshot
	Endpoints() []endpoint.View
	Members() []membership.Member
	HotPrefixes(limit int) []node.HotPrefix
}

const defaultHotLimit = 20

// Query executes a show statement.
func Query(view View, show *Show) (*Table, error) {
	snapshot := view.Snapshot()
	if snapshot == nil {
		return nil, failure.New(failure.KindNotConfigured, "no declaration has been applied yet", "apply a declaration first")
	}
	table := buildTable(view, snapshot, show)
	if err := table.filter(show.Conditions); err != nil {
		return nil, err
	}
	sort.SliceStable(table.Rows, func(i, j int) bool { return show.Subject != "prefixes" && table.Rows[i][0] < table.Rows[j][0] })
	if show.Limit > 0 && len(table.Rows) > show.Limit {
		table.Rows = table.Rows[:show.Limit]
	}
	return table, nil
}

func buildTable(view View, snapshot *configuration.Snapshot, show *Show) *Table {
	declaration := snapshot.Declaration
	switch show.Subject {
	case "engines":
		return engineTable(view.Endpoints())
	case "nodes":
		return nodeTable(view.Members())
	case "tenants":
		table := &Table{Columns: []string{"name", "class", "priority", "weight", "rate", "pools"}}
		for _, tenant := range declaration.Tenants {
			table.addRow(tenant.Name, tenant.Class, tenant.Priority, tenant.Weight, tenant.Limits.RequestsPerSecond, strings.Join(tenant.Pools, " "))
		}
		return table
	case "models":
		table := &Table{Columns: []string{"name", "version", "adapters"}}
		for _, model := range declaration.Models {
			table.addRow(model.Name, model.Version, strings.Join(model.Adapters, " "))
		}
		return table
	case "pools":
		table := &Table{Columns: []string{"name", "engines", "models"}}
		for _, pool := range declaration.Pools {
			table.addRow(pool.Name, len(pool.Engines), strings.Join(pool.Models, " "))
		}
		return table
	case "services":
		table := &Table{Columns: []string{"name", "servers", "routes"}}
		for _, service := range declaration.Services {
			table.addRow(service.Name, len(service.Servers), len(service.Routes))
		}
		return table
	case "prefixes":
		limit := show.Limit
		if limit == 0 {
			limit = defaultHotLimit
		}
		table := &Table{Columns: []string{"prefix", "tenant", "model", "requests"}}
		for _, prefix := range view.HotPrefixes(limit) {
			table.addRow(prefix.Prefix, prefix.Tenant, prefix.Model, fmt.Sprintf("%.1f", prefix.Requests))
		}
		return table
	default:
		table := &Table{Columns: []string{"revision", "change", "fleet"}}
		table.addRow(snapshot.Revision, snapshot.ChangeID, declaration.Fleet)
		return table
	}
}

func engineTable(views []endpoint.View) *Table {
	table := &Table{Columns: []string{"name", "zone", "state", "running", "waiting", "in_flight", "weights"}}
	for _, view := range views {
		weights := []string{}
		for model, version := range view.Record.Weights {
			weights = append(weights, model+"@"+version)
		}
		sort.Strings(weights)
		table.addRow(view.Backend.Name, view.Backend.Zone, stateOf(view), view.Load.Running, view.Load.Waiting, view.InFlight, strings.Join(weights, " "))
	}
	return table
}

func stateOf(view endpoint.View) string {
	switch {
	case view.Record.Down:
		return "down"
	case view.Drained:
		return "draining"
	case view.Record.Leaving:
		return "leaving"
	case view.Record.Version == 0:
		return "unknown"
	default:
		return "ready"
	}
}

func nodeTable(members []membership.Member) *Table {
	table := &Table{Columns: []string{"address", "zone", "status", "draining"}}
	for _, member := range members {
		table.addRow(member.Address, member.Zone, member.Status, member.Draining)
	}
	return table
}

func (table *Table) addRow(values ...any) {
	row := make([]string, len(values))
	for index, value := range values {
		row[index] = fmt.Sprint(value)
	}
	table.Rows = append(table.Rows, row)
}

func (table *Table) filter(conditions []Condition) error {
	for _, condition := range conditions {
		column := -1
		for index, name := range table.Columns {
			if name == condition.Column {
				column = index
			}
		}
		if column < 0 {
			return failure.New(failure.KindInvalidRequest, "no column is named "+strconv.Quote(condition.Column),
				"use one of: "+strings.Join(table.Columns, ", "))
		}
		matching := [][]string{}
		for _, row := range table.Rows {
			if matches(row[column], condition.Operator, condition.Value) {
				matching = append(matching, row)
			}
		}
		table.Rows = matching
	}
	return nil
}

// matches compares two numbers numerically and all other values as strings.
func matches(left, operator, right string) bool {
	order := strings.Compare(left, right)
	first, firstError := strconv.ParseFloat(left, 64)
	second, secondError := strconv.ParseFloat(right, 64)
	if firstError == nil && secondError == nil {
		switch {
		case first < second:
			order = -1
		case first > second:
			order = 1
		default:
			order = 0
		}
	}
	switch operator {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	default:
		return order >= 0
	}
}

package operator

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/cloverrail/cloverrail/internal/configstore"
	"github.com/cloverrail/cloverrail/internal/configuration"
	"github.com/cloverrail/cloverrail/internal/failure"
	"github.com/cloverrail/cloverrail/internal/strictyaml"
)

// maxCommandAttempts bounds the attempts of a command whose write conflicts with
// another change. Unlike a whole declaration, a command can be reapplied on top of
// any other change.
const maxCommandAttempts = 5

// Execute runs a command: it changes the declaration in the key-value service and
// returns the resulting version. Parts contained in the cached version, which may
// be nil, are not read again.
func Execute(ctx context.Context, store *configstore.Store, cached *configstore.Version, statement *Statement) (*configstore.Version, error) {
	var conflict error
	for range maxCommandAttempts {
		base, err := store.Read(ctx, cached)
		if err != nil {
			return nil, err
		}
		if base == nil {
			return nil, failure.New(failure.KindNotConfigured, "no declaration has been applied yet", "apply a declaration first")
		}
		declaration, err := configstore.Join(base.Parts)
		if err != nil {
			return nil, err
		}
		if err := applyStatement(declaration, statement); err != nil {
			return nil, err
		}
		if err := strictyaml.Validate("(command)", declaration); err != nil {
			return nil, failure.New(failure.KindInvalidRequest, err.Error(), "give a value in range")
		}
		version, err := store.Propose(ctx, base, uuid.NewString(), declaration)
		if err == nil || !failure.Is(err, failure.KindConflict) {
			return version, err
		}
		conflict = err
	}
	return nil, conflict
}

func applyStatement(declaration *configuration.Declaration, statement *Statement) error {
	switch {
	case statement.Drain != nil:
		return drain(declaration, statement.Drain.Name)
	case statement.Readmit != nil:
		return readmit(declaration, statement.Readmit.Name)
	case statement.Set != nil && statement.Set.Subject == "tenant":
		return setTenant(declaration, statement.Set)
	case statement.Set != nil:
		return setModel(declaration, statement.Set)
	default:
		return errors.New("not a command")
	}
}

func drain(declaration *configuration.Declaration, name string) error {
	if !declaration.HasBackend(name) {
		return notFound("declared backend", name, "show engines")
	}
	for _, drained := range declaration.Draining {
		if drained == name {
			return nil
		}
	}
	declaration.Draining = append(declaration.Draining, name)
	return nil
}

func readmit(declaration *configuration.Declaration, name string) error {
	remaining := []string{}
	for _, drained := range declaration.Draining {
		if drained != name {
			remaining = append(remaining, drained)
		}
	}
	if len(remaining) == len(declaration.Draining) {
		return failure.New(failure.KindNotFound, name+" is not drained by a command", "see `show engines where state = draining`")
	}
	declaration.Draining = remaining
	return nil
}

func notFound(kind, name, query string) error {
	return failure.New(failure.KindNotFound, "no "+kind+" is named "+strconv.Quote(name), "see `"+query+"`")
}

func setTenant(declaration *configuration.Declaration, set *Set) error {
	for index := range declaration.Tenants {
		tenant := &declaration.Tenants[index]
		if tenant.Name != set.Name {
			continue
		}
		var err error
		switch set.Field {
		case "priority":
			tenant.Priority, err = strconv.Atoi(set.Value)
		case "weight":
			tenant.Weight, err = strconv.ParseFloat(set.Value, 64)
		case "rate":
			tenant.Limits.RequestsPerSecond, err = strconv.ParseFloat(set.Value, 64)
		case "class":
			tenant.Class = set.Value
		default:
			return failure.New(failure.KindInvalidRequest, "a tenant has no "+set.Field, "set its priority, weight, rate or class")
		}
		if err != nil {
			return failure.New(failure.KindInvalidRequest, strconv.Quote(set.Value)+" is not a number", "give a number such as 3")
		}
		return nil
	}
	return notFound("tenant", set.Name, "show tenants")
}

func setModel(declaration *configuration.Declaration, set *Set) error {
	if set.Field != "version" {
		return failure.New(failure.KindInvalidRequest, "a model has no "+set.Field, "set its version")
	}
	for index := range declaration.Models {
		if declaration.Models[index].Name == set.Name {
			declaration.Models[index].Version = set.Value
			return nil
		}
	}
	return notFound("model", set.Name, "show models")
}

// decode parses a JSON message; its error includes a remedy.
func decode(data []byte, target any) error {
	if err := json.Unmarshal(data, target); err != nil {
		return failure.New(failure.KindInvalidRequest, "the message cannot be decoded: "+err.Error(), "use the cloverrail command of the same version")
	}
	return nil
}

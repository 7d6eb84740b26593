package backend

import (
	"maps"
	"slices"

	"github.com/juju/errors"
)

// Packed is a server list in the form in which nodes exchange it. Properties that servers have
// in common are encoded once, so that a server takes some 40 bytes, a third of its plain
// encoding. Unpacked servers share them in memory too.
type Packed struct {
	// Kinds holds the distinct combinations of shared properties; the fields specific to one server
	// are zero.
	Kinds []Server
	// The remaining slices have one element per server. Kind is an index into Kinds.
	Kind     []int
	Instance []string
	Address  []string
	Revision []int64
	Created  []int64
	// Born is empty if no server reports its start time.
	Born []int64
}

// errMalformedList is returned by Unpack for a malformed list.
var errMalformedList = errors.New("malformed server list from another node: run the same version on all nodes")

// Pack encodes a list.
func Pack(list []Server) Packed {
	p := Packed{}
	if len(list) == 0 {
		return p
	}
	kinds := map[kindKey][]int{}
	for _, server := range list {
		p.Kind = append(p.Kind, p.kindOf(server, kinds))
		p.Instance = append(p.Instance, server.Instance)
		p.Address = append(p.Address, server.Address)
		p.Revision = append(p.Revision, server.Revision)
		p.Created = append(p.Created, server.Created)
		p.Born = append(p.Born, server.Born)
	}
	if !slices.ContainsFunc(p.Born, func(born int64) bool { return born != 0 }) {
		p.Born = nil
	}
	return p
}

// kindKey indexes kinds by all shared properties but the model versions.
type kindKey struct {
	service, zone, software string
	slots                   int
	draining                bool
}

// kindOf returns the index of the kind of a server, adding the kind if it is new.
func (p *Packed) kindOf(server Server, kinds map[kindKey][]int) int {
	key := kindKey{service: server.Service, zone: server.Zone, software: server.Software, slots: server.Slots, draining: server.Draining}
	for _, kind := range kinds[key] {
		if maps.Equal(p.Kinds[kind].Versions, server.Versions) {
			return kind
		}
	}
	server.Instance, server.Address, server.Revision, server.Created, server.Born = "", "", 0, 0, 0
	kinds[key] = append(kinds[key], len(p.Kinds))
	p.Kinds = append(p.Kinds, server)
	return len(p.Kinds) - 1
}

// Empty reports whether the list has no servers.
func (p Packed) Empty() bool { return len(p.Kind) == 0 }

// Unpack decodes the list. It returns an error if the list is malformed. Slots that no server has count as unknown: nodes of
// former builds pass on whatever an entry says.
func (p Packed) Unpack() ([]Server, error) {
	n := len(p.Kind)
	if len(p.Instance) != n || len(p.Address) != n || len(p.Revision) != n || len(p.Created) != n || p.Born != nil && len(p.Born) != n {
		return nil, errMalformedList
	}
	if n == 0 {
		return nil, nil
	}
	list := make([]Server, n)
	for i, kind := range p.Kind {
		if kind < 0 || kind >= len(p.Kinds) {
			return nil, errMalformedList
		}
		list[i] = p.Kinds[kind]
		list[i].Instance, list[i].Address, list[i].Revision, list[i].Created = p.Instance[i], p.Address[i], p.Revision[i], p.Created[i]
		if p.Born != nil {
			list[i].Born = p.Born[i]
		}
		if list[i].Slots < 0 || list[i].Slots > MaxSlots {
			list[i].Slots = 0
		}
	}
	return list, nil
}

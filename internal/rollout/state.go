package rollout

import (
	"bytes"
	"encoding/gob"
	"slices"

	"github.com/juju/errors"
)

// State is what the holder of the duty publishes for all nodes.
type State struct {
	// Holder is the name of the node.
	Holder string
	// Active says that orders may be under way.
	Active bool
	// Loading holds the servers that load weights now, with their new versions.
	Loading map[string]int64
}

// entry is one server of an encoded state: a list in a fixed order, so that
// equal states have equal encodings.
type entry struct {
	Instance string
	Version  int64
}

type encodedState struct {
	Holder  string
	Active  bool
	Loading []entry
}

// Encode returns the state as it is published.
func (state State) Encode() []byte {
	encoded := encodedState{Holder: state.Holder, Active: state.Active}
	for instance, version := range state.Loading {
		encoded.Loading = append(encoded.Loading, entry{Instance: instance, Version: version})
	}
	slices.SortFunc(encoded.Loading, func(first, second entry) int {
		return bytes.Compare([]byte(first.Instance), []byte(second.Instance))
	})
	buffer := bytes.Buffer{}
	if err := gob.NewEncoder(&buffer).Encode(encoded); err != nil {
		// Writing plain values to memory does not fail.
		panic(err)
	}
	return buffer.Bytes()
}

// DecodeState reads a published state.
func DecodeState(data []byte) (State, error) {
	var encoded encodedState
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&encoded); err != nil {
		return State{}, errors.Annotate(err, "the published state of the roll-out cannot be read; run one version on all nodes")
	}
	state := State{Holder: encoded.Holder, Active: encoded.Active, Loading: map[string]int64{}}
	for _, one := range encoded.Loading {
		state.Loading[one.Instance] = one.Version
	}
	return state, nil
}

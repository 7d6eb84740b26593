package rollout

import (
	"bytes"
	"encoding/gob"

	"github.com/juju/errors"
)

// State is what the holder of the duty leaves in the store for the next one. How far
// the roll-out is, it tells the other nodes itself.
type State struct {
	// Holder is the name of the node.
	Holder string
	// Active says that orders may be under way.
	Active bool
}

// Encode returns the state as it is published. Equal states have equal encodings.
func (state State) Encode() []byte {
	buffer := bytes.Buffer{}
	if err := gob.NewEncoder(&buffer).Encode(state); err != nil {
		// Writing plain values to memory does not fail.
		panic(err)
	}
	return buffer.Bytes()
}

// DecodeState reads a published state.
func DecodeState(data []byte) (State, error) {
	var state State
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&state); err != nil {
		return State{}, errors.Annotate(err, "the published state of the roll-out cannot be read; run one version on all nodes")
	}
	return state, nil
}

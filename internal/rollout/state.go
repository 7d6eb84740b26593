package rollout

import (
	"bytes"
	"encoding/gob"

	"github.com/juju/errors"
)

// State is the state that the leader keeps in the store for its successor. It broadcasts the
// progress of the rollout to the other nodes itself.
type State struct {
	// Holder is the name of the leader's node.
	Holder string
	// Active is set if orders may be in progress.
	Active bool
	// BeganAtZero is set if the first era of the store was 0.
	BeganAtZero bool
}

// Encode returns the published form of the state. Equal states have equal encodings.
func (state State) Encode() []byte {
	buffer := bytes.Buffer{}
	if err := gob.NewEncoder(&buffer).Encode(state); err != nil {
		// Encoding plain values to memory does not fail.
		panic(err)
	}
	return buffer.Bytes()
}

// DecodeState decodes a published state.
func DecodeState(data []byte) (State, error) {
	var state State
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&state); err != nil {
		return State{}, errors.Annotate(err, "malformed rollout state; all nodes must run the same version")
	}
	return state, nil
}

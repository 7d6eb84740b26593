package rollout

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/cloverrail/cloverrail/internal/property"
)

// Guards against a spoilt state of the roll-out that ends the process that reads it.
func TestSpoiltStateEndsNoProcess(t *testing.T) {
	property.CheckMany(t, 2000, func(t *rapid.T) {
		state := State{Holder: rapid.StringMatching(`node-[0-9]{1,4}`).Draw(t, "holder"), Active: rapid.Bool().Draw(t, "active"), BeganAtZero: rapid.Bool().Draw(t, "zero")}
		_, _ = DecodeState(property.Spoil(t, state.Encode()))
	})
}

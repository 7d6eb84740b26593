package forward

import (
	"bytes"
	"encoding/gob"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against attempts whose headers take the room of bodies, and against the rejection of those within the limits.
func TestCheckMessageBoundsWhatIsBesideTheBody(t *testing.T) {
	const maxHeadBytes = 8 << 10
	for name, c := range map[string]struct {
		attempt  wireAttempt
		accepted bool
	}{
		"no body":       {wireAttempt{Format: messageFormat}, true},
		"a long body":   {wireAttempt{Format: messageFormat, Header: http.Header{"A": {"b"}}, Body: make([]byte, 4_000_000)}, true},
		"long headers":  {wireAttempt{Format: messageFormat, Header: http.Header{"A": {string(make([]byte, maxHeadBytes))}}}, false},
		"short headers": {wireAttempt{Format: messageFormat, Header: http.Header{"A": make([]string, 2*maxHeadBytes)}, Body: make([]byte, 1000)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var message bytes.Buffer
			require.NoError(t, gob.NewEncoder(&message).Encode(c.attempt))
			err := CheckMessage(&message, int64(message.Len()), maxHeadBytes)
			require.Equal(t, c.accepted, err == nil, "%v", err)
		})
	}
}

package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/dispatch"
	"github.com/cloverrail/cloverrail/internal/failure"
)

// Guards against an engine's rejection that tells the caller more of whether the request ran than is known.
func TestRejectionStatesItsOutcome(t *testing.T) {
	for _, outcome := range []failure.Outcome{failure.NotRun, failure.Unknown} {
		w := httptest.NewRecorder()
		(&Gateway{}).writeFailure(w, &dispatch.Rejection{Status: http.StatusBadRequest, Outcome: outcome, Body: []byte("{}")})
		require.Equal(t, http.StatusBadRequest, w.Code)
		require.Equal(t, string(outcome), w.Header().Get(headerOutcome))
	}
}

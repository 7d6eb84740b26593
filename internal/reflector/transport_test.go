package reflector

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverrail/cloverrail/internal/backend"
	"github.com/cloverrail/cloverrail/internal/workshare"
)

func TestAReaderTellsItsGroupsWorkInFewBytes(t *testing.T) {
	board := workshare.New(func() []backend.Work { return []backend.Work{{Server: 1, Running: 2}} })
	board.TakeFollower("f", []backend.Work{{Server: 1, Running: 3, Suspects: 1}}, time.Now())
	recorder := httptest.NewRecorder()
	WorkHandler(board)(recorder, httptest.NewRequest(http.MethodGet, PathWork, nil))
	require.Less(t, recorder.Body.Len(), 200)

	server := httptest.NewServer(WorkHandler(board))
	defer server.Close()
	work, err := (&Caller{Client: server.Client()}).Work(context.Background(), strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	require.Equal(t, []backend.Work{{Server: 1, Running: 5, Suspects: 1}}, work)
}

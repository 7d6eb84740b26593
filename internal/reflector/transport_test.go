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
	"github.com/cloverrail/cloverrail/internal/residency"
	"github.com/cloverrail/cloverrail/internal/workshare"
)

func TestAReaderTellsItsGroupsWorkInFewBytes(t *testing.T) {
	board := workshare.New(func() []backend.Work { return []backend.Work{{Server: 1, Running: 2}} })
	board.TakeFollower("f", []backend.Work{{Server: 1, Running: 3, Suspects: 1}}, time.Now())
	recorder := httptest.NewRecorder()
	kept := residency.NewLedger()
	WorkHandler(board, kept)(recorder, httptest.NewRequest(http.MethodGet, PathWork, nil))
	require.Less(t, recorder.Body.Len(), 200)

	server := httptest.NewServer(WorkHandler(board, kept))
	defer server.Close()
	caller, address := &Caller{Client: server.Client()}, strings.TrimPrefix(server.URL, "http://")
	kept.Replace("store", []residency.Key{1, 2})
	group, err := caller.Group(context.Background(), address, residency.Place{})
	require.NoError(t, err)
	require.Equal(t, []backend.Work{{Server: 1, Running: 5, Suspects: 1}}, group.Work)
	heard := residency.NewLedger()
	hearer := residency.NewHearer(heard)
	require.NoError(t, hearer.Take(address, residency.Place{}, group.Kept, time.Now()))
	require.Equal(t, 3, heard.Held("store", "", []residency.Piece{{Key: 2, Tokens: 3}}, time.Now()))
	group, err = caller.Group(context.Background(), address, hearer.Place(address))
	require.NoError(t, err)
	require.Nil(t, group.Kept, "nothing is told twice")
}

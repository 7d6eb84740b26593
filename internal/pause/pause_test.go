package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestForReturnsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		For(t.Context(), -time.Second)
		require.Equal(t, start, time.Now())
		For(t.Context(), time.Second)
		require.Equal(t, time.Second, time.Since(start))
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		For(ctx, time.Hour)
		require.Equal(t, time.Second+time.Minute, time.Since(start))
	})
}

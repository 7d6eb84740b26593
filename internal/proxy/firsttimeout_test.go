package proxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against first tries of callers with little time that count as returns: first timeouts on
// one route range from 2,900 to 5,000 ms.
func TestOnlyShorterTimesThanFirstOnesAreShortened(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	f := newFirstTimeouts()
	wrong := 0
	for range 5000 {
		if f.observe("r", time.Duration(2900+random.IntN(2100))*time.Millisecond) {
			wrong++
		}
	}
	require.Less(t, wrong, 150)
	require.True(t, f.observe("r", 2400*time.Millisecond))
	require.False(t, f.observe("r", 4000*time.Millisecond), "a return within the range of first tries is not recognised")
	require.False(t, f.observe("r", 0))
}

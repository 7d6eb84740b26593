package exchange

import (
	"context"
	"net/http"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

// Guards against a request that may run once being sent again without a record of what allowed it.
func TestResendNamesSign(t *testing.T) {
	for sign, err := range map[Sign]error{
		SignStated:             &ErrRefused{Reason: "503"},
		SignStated.ByPeer():    &ErrRefused{Reason: "503", ByPeer: true},
		SignUnsent:             &ErrUnreached{Reason: "no connection"},
		SignUnsent.ByPeer():    &ErrUnreached{Reason: "no connection", ByPeer: true},
		SignWithdrawn:          &ErrWithdrawn{Reason: "draining"},
		SignWithdrawn.ByPeer(): &ErrWithdrawn{Reason: "draining", ByPeer: true},
	} {
		t.Run(sign.String(), func(t *testing.T) {
			var resends []Resend
			run := func(repeatable bool, servers ...fakeServer) Outcome {
				resends = nil
				return Run(context.Background(), Request{
					Rules:         Rules{Repeatable: repeatable, MaxRuns: 3, MaxSends: 3},
					Budget:        &fixedBudget{remaining: 9},
					Placer:        &placer{servers: servers},
					Caller:        &recorder{},
					ObserveResend: func(resend Resend) { resends = append(resends, resend) },
				})
			}
			require.Nil(t, run(false, fails(err), respondsWith(http.StatusOK, "done")).Failure)
			require.Equal(t, []Resend{{Server: "1", Previous: "0", Sign: sign}}, resends)
			require.Nil(t, run(true, fails(err), respondsWith(http.StatusOK, "done")).Failure)
			require.Empty(t, resends, "a request that may be repeated")
			require.Equal(t, sign, run(false, fails(err)).Sign)
			require.Zero(t, run(false, fails(err), fails(errors.New("broken"))).Sign, "the last attempt may have run")
		})
	}
}

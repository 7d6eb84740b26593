package proxy

import (
	"time"

	"github.com/cloverrail/cloverrail/internal/exchange"
	"github.com/cloverrail/cloverrail/internal/quarantine"
)

const (
	// minProgressTime is how long a response has gone on when the parts of its prompt no longer count as what is about to
	// crash its server: such servers end soon after they have begun to write.
	minProgressTime = 250 * time.Millisecond
	// maxPassWait bounds the wait of a request for the pass of a part on probation. It is long enough for two others to
	// crash servers meanwhile.
	maxPassWait = 2 * quarantine.PropagationTime
)

// ProbationDecision records that a request with a part on probation may be sent, or waits.
type ProbationDecision struct {
	Part quarantine.Fingerprint
	// Crashes is the number of confirmed crashes.
	Crashes int
	Waits   bool
}

// lacksPass reports whether the request needs a pass that another one has.
func (placer *placer) lacksPass() bool {
	part := placer.verdict.OnProbation
	return part != 0 && placer.proxy.probation != nil && placer.admitted.pass.Part() != part && !placer.proxy.probation.Available(part)
}

// unplacedOnProbation records that the request waits for a pass, and returns that.
func (placer *placer) unplacedOnProbation() *exchange.Unplaced {
	admitted := placer.admitted
	if !admitted.waitsForPass {
		admitted.waitsForPass = true
		placer.proxy.recorder.OnProbation(admitted.request, ProbationDecision{Part: placer.verdict.OnProbation, Crashes: placer.verdict.Crashes, Waits: true})
	}
	return &exchange.Unplaced{Reason: "servers have crashed while running requests that share a part of its prompt, and another one is being tried", RetryAfter: minQuarantineRetryAfter, Wait: maxPassWait}
}

// takePass takes the pass for the part of the request that is on probation, if there is one and the request has none. If
// another request has it, it returns what the request waits for.
func (placer *placer) takePass() *exchange.Unplaced {
	admitted, part := placer.admitted, placer.verdict.OnProbation
	if placer.proxy.probation == nil || admitted.pass.Part() == part {
		return nil
	}
	admitted.returnPass()
	if part == 0 {
		return nil
	}
	if admitted.pass = placer.proxy.probation.Take(part); admitted.pass == nil {
		return placer.unplacedOnProbation()
	}
	admitted.trials = placer.verdict.Trials
	placer.proxy.recorder.OnProbation(admitted.request, ProbationDecision{Part: part, Crashes: placer.verdict.Crashes})
	return nil
}

// returnPass returns the request's pass, if it has one.
func (admitted *admitted) returnPass() {
	admitted.pass.Return()
	admitted.pass = nil
}

// endPass returns the pass at the end of an attempt: at once, or if a server may have crashed under it, once all nodes know
// whether it did.
func (admitted *admitted) endPass(crashed bool) {
	if crashed {
		admitted.pass.ReturnAfter(quarantine.CrashHold(admitted.trials))
		admitted.pass = nil
		return
	}
	admitted.returnPass()
}

// noteProgress ends the probation of the parts of the prompt at this node once the response has gone on for long enough.
func (placement *placement) noteProgress(now time.Time) {
	admitted, ledger := placement.placer.admitted, placement.placer.proxy.quarantine
	if placement.firstEventAt.IsZero() {
		placement.firstEventAt = now
	}
	if placement.progressed || now.Sub(placement.firstEventAt) < minProgressTime || !ledger.Active() {
		return
	}
	placement.progressed = true
	ledger.Progressed(admitted.suspects(), placement.placedAt)
	admitted.returnPass()
}

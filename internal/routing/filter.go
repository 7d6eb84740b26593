package routing

// Reason is why an endpoint is rejected.
type Reason string

// The rejection reasons. Their values appear in logs and error messages and must not change, so
// some differ from the names of the constants.
const (
	Accepted          Reason = ""
	ReasonExcluded    Reason = "excluded"
	ReasonDown        Reason = "down"
	ReasonLeaving     Reason = "leaving"
	ReasonBackoff     Reason = "asked_for_rest"
	ReasonLimited     Reason = "limited"
	ReasonNotReady    Reason = "not_ready"
	ReasonBreakerOpen Reason = "resting"
	ReasonFull        Reason = "full"
	ReasonBusy        Reason = "busy"
	ReasonNoRoom      Reason = "no_room"
)

// Filter returns why the candidate is rejected, or Accepted. Reasons that do not pass
// by waiting are checked first, so that the strongest reason is reported.
func Filter(request *Request, candidate *Candidate) Reason {
	switch {
	case candidate.Excluded:
		return ReasonExcluded
	case candidate.Down:
		return ReasonDown
	case candidate.Leaving:
		return ReasonLeaving
	case candidate.BackoffLeft > 0:
		return ReasonBackoff
	case candidate.LimitWait > 0:
		return ReasonLimited
	case !candidate.Ready:
		return ReasonNotReady
	case candidate.BreakerOpen, candidate.Probing:
		return ReasonBreakerOpen
	case candidate.NoRoom:
		return ReasonNoRoom
	case candidate.Busy, request.AvoidFull && candidate.FullNodes > 0:
		return ReasonBusy
	case request.ConcurrentPerEngine > 0 && candidate.InFlight >= request.ConcurrentPerEngine:
		return ReasonFull
	default:
		return Accepted
	}
}

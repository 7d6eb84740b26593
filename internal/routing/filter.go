package routing

// Reason is why an endpoint is rejected.
type Reason string

// The rejection reasons.
const (
	Accepted       Reason = ""
	ReasonExcluded Reason = "excluded"
	ReasonDown     Reason = "down"
	ReasonLeaving  Reason = "leaving"
	ReasonAsked    Reason = "asked_for_rest"
	ReasonLimited  Reason = "limited"
	ReasonNotReady Reason = "not_ready"
	ReasonResting  Reason = "resting"
	ReasonFull     Reason = "full"
	ReasonBusy     Reason = "busy"
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
	case candidate.RestLeft > 0:
		return ReasonAsked
	case candidate.LimitWait > 0:
		return ReasonLimited
	case !candidate.Ready:
		return ReasonNotReady
	case candidate.Resting, candidate.Probing:
		return ReasonResting
	case candidate.Busy:
		return ReasonBusy
	case request.ConcurrentPerEngine > 0 && candidate.InFlight >= request.ConcurrentPerEngine:
		return ReasonFull
	default:
		return Accepted
	}
}

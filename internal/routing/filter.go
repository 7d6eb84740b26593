package routing

// Reason names why an endpoint may not be used.
type Reason string

// The reasons, in the order in which they are checked.
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

// Filter says whether the request may go to the candidate. Reasons that will
// not pass by waiting come first, so that the reason shown is the strongest.
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

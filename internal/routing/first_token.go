package routing

// FirstTokenDelay returns the predicted time from the placement of the request on the candidate to
// its first token, in seconds: the base time, the time until the endpoint starts the request, and
// the request's own prefill.
func FirstTokenDelay(request *Request, candidate *Candidate) float64 {
	return request.BaseSeconds + StartDelay(request, candidate) + ownPrefill(request, candidate)
}

// MeetsTarget reports whether the first token is predicted within what is left of the target. It is
// false without a target.
func MeetsTarget(request *Request, candidate *Candidate) bool {
	return request.TargetSeconds > 0 && FirstTokenDelay(request, candidate) <= request.TargetSeconds
}

package coordination

// CallResult is how a call to the shared store ended.
type CallResult string

// The results. They are labels of metrics.
const (
	CallAnswered CallResult = "answered"
	// CallTimedOut is that of a call without a whole response in time, and CallBroken that of one whose
	// connection failed.
	CallTimedOut CallResult = "timeout"
	CallBroken   CallResult = "broken"
	// CallUnavailable and CallRateLimited are those of calls that the store refused.
	CallUnavailable CallResult = "unavailable"
	CallRateLimited CallResult = "rate_limited"
	// CallOutdated is that of a response from an earlier era.
	CallOutdated CallResult = "outdated"
	// CallCancelled is that of a call that this node gave up.
	CallCancelled CallResult = "cancelled"
)

// CallObserver is called when a call to the store begins, with its purpose and the call's name. It returns
// a function that is called when the call ends, with the error if there was one. Neither must block.
type CallObserver func(purpose, call string) (ended func(result CallResult, err error))

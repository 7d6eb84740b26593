package routing

// answersLostPerCrash is the number of answers that are lost when a server crashes: as many as an
// engine usually runs concurrently.
const companyAnswers = 16

// IsolationScorer places requests that are suspected of crashing servers on separate endpoints, so
// that the next crash identifies the culprit and the others are answered. Without it, requests with
// the same prompt would keep meeting on the engine that has the prompt cached.
type CompanyScorer struct{}

// Name returns the name of the term.
func (CompanyScorer) Name() string { return "company" }

// Score returns seconds of engine time.
func (CompanyScorer) Score(request *Request, candidate *Candidate) float64 {
	return candidate.Apart * companyAnswers * request.FailureCost
}

package backend

// StartTimes tracks which servers of the list report their start time. If most do, an entry
// without one was written by another component; if most do not, none is required to.
type StartTimes struct {
	reports   map[string]bool
	reporting int
}

// NewStartTimes returns a StartTimes for an empty list.
func NewStartTimes() *StartTimes { return &StartTimes{reports: map[string]bool{}} }

// Record sets whether the server with the given ID reports its start time.
func (s *StartTimes) Record(id string, reports bool) {
	s.Remove(id)
	s.reports[id] = reports
	if reports {
		s.reporting++
	}
}

// Remove removes an ID that is no longer in the list.
func (s *StartTimes) Remove(id string) {
	if s.reports[id] {
		s.reporting--
	}
	delete(s.reports, id)
}

// Required reports whether servers must report their start time: whether more than half of them
// do.
func (s *StartTimes) Required() bool { return 2*s.reporting > len(s.reports) }

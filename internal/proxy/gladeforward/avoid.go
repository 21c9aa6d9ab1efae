package gladeforward

import (
	"slices"
	"time"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladefleet"
)

// avoidance is why a stream avoids servers.
type avoidance struct {
	// unreached lists the avoided servers that a send did not reach, and failedOn the others, where the stream failed.
	unreached, failedOn []string
	// failedAt is the time of the last failure on a server.
	failedAt time.Time
	// heardAgain reports that one of failedOn was heard after failedAt and before the last send began.
	heardAgain bool
}

// avoidServer excludes a server on which the stream failed from further attempts.
func (s *stream) avoidServer(id string) {
	s.avoid = append(s.avoid, id)
	s.failedOn = append(s.failedOn, id)
	s.failedAt, s.heardAgain = time.Now(), false
}

// avoidUnreached excludes a server that a send did not reach from the next attempts.
func (s *stream) avoidUnreached(id string) {
	s.avoid = append(s.avoid, id)
	s.unreached = append(s.unreached, id)
}

// checkHeardAgain records whether a server on which the stream failed was heard since.
func (s *stream) checkHeardAgain() {
	now := time.Now()
	for _, id := range s.failedOn {
		s.heardAgain = s.heardAgain || s.config.Fleet.SilentFor(id, now) < now.Sub(s.failedAt)
	}
}

// waitForAvoided reserves a place on a server that the stream has avoided, as there is no other one.
//
// A stream that may have run is first sent to the servers that no send reached: if this VM opens no connection for a while, they are not at
// fault, while the ones that broke the stream off may do so again. It returns to the latter if one was heard since, and a later send reached
// no server all the same: then it is not this VM that opens no connection.
func (s *stream) waitForAvoided(need gladefleet.Requirements) (*gladefleet.Reservation, error) {
	if s.mayHaveRun && len(s.unreached) > 0 && len(s.failedOn) > 0 && !s.heardAgain {
		s.avoid, s.unreached = slices.Clone(s.failedOn), nil
		need.Avoid = s.avoid
		for _, id := range s.failedOn {
			if o, ok := s.config.Fleet.Server(id); ok {
				s.probe(o, probeDue)
			}
		}
		if place, err := s.waitForPlace(need); err == nil || s.ctx.Err() != nil {
			return place, err
		}
	}
	s.avoid, need.Avoid, s.avoidance = nil, nil, avoidance{} // the first may have restarted
	return s.waitForPlace(need)
}

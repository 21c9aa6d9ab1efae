package gladeconfig

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ErrUnknownProfile means that no profile has the name.
var ErrUnknownProfile = eris.New("unknown profile")

// The names of the profiles.
const (
	ProfileNileFixer  = "nile-fixer"
	ProfileRathuPaara = "rathu-paara"
)

var profiles = map[string]func(*Settings){
	// The defaults are Nile Fixer's: every shown token is held at a standby, in batches of 20 ms.
	ProfileNileFixer:  func(*Settings) {},
	ProfileRathuPaara: preferResources,
}

// Profile returns the defaults of a profile, or the general ones with an error if there is none of the name.
func Profile(name string) (Settings, error) {
	s := Default()
	change, ok := profiles[name]
	if !ok {
		known := strings.Join(slices.Sorted(maps.Keys(profiles)), ", ")
		return s, eris.Wrapf(ErrUnknownProfile, "%q is not one of %s", name, known)
	}
	s.Profile = name
	change(&s)
	return s, nil
}

// preferResources gives up some resume latency for fewer messages and less work done twice.
func preferResources(s *Settings) {
	s.Standby.ReleaseAtOnce = true
	s.Standby.BatchInterval = Duration(200 * time.Millisecond)
}

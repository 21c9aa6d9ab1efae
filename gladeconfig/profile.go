package gladeconfig

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ErrUnknownProfile means that no profile of the given name exists.
var ErrUnknownProfile = eris.New("unknown profile")

// The names of the profiles.
const (
	ProfileNileFixer  = "nile-fixer"
	ProfileRathuPaara = "rathu-paara"
)

var profiles = map[string]func(*Settings){
	// Nile Fixer uses the defaults: a standby holds every token before callers see it, and batches are 20 ms apart.
	ProfileNileFixer:  func(*Settings) {},
	ProfileRathuPaara: preferResources,
}

// Profile returns the defaults of a profile. If it does not exist, Profile returns Default and ErrUnknownProfile.
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

// preferResources trades some resume latency for fewer messages and less repeated work.
func preferResources(s *Settings) {
	s.Standby.ReleaseAtOnce = true
	s.Standby.BatchInterval = Duration(200 * time.Millisecond)
}

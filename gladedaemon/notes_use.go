package gladedaemon

import (
	"slices"
	"sync"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

// targetUsage counts the generations of this VM by target.
type targetUsage struct {
	mu      sync.Mutex
	targets map[gladeapi.Target]int
}

func (u *targetUsage) add(t gladeapi.Target, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.targets == nil {
		u.targets = map[gladeapi.Target]int{}
	}
	u.targets[t] += n
	if u.targets[t] == 0 {
		delete(u.targets, t)
	}
}

// withdrawn returns the targets that are in use but no longer in force in a state.
func (u *targetUsage) withdrawn(s *gladenote.State) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var targets []string
	for t := range u.targets {
		if !s.InForce(t) {
			targets = append(targets, t.String())
		}
	}
	slices.Sort(targets)
	return targets
}

// Track counts a generation as a user of its target until it ends.
func (n *Notes) Track(r *gladestream.Run) {
	target := r.Journal.Generation.Target
	n.inUse.add(target, 1)
	if !n.State().InForce(target) {
		n.publishNote(n.State())
	}
	go func() {
		<-r.Done
		n.inUse.add(target, -1)
		if s := n.State(); !s.InForce(target) {
			n.publishNote(s)
		}
	}()
}

// Unused reports whether all live VMs have applied a state and none runs a generation on a target that the state has
// withdrawn.
func (n *Notes) Unused(s *gladenote.State, target string) bool {
	if slices.Contains(n.inUse.withdrawn(s), target) {
		return false
	}
	for _, m := range n.node.Members() {
		f := fact[noteFact](&m, factNote)
		if f.Number < s.Number || slices.Contains(f.InUse, target) {
			return false
		}
	}
	return true
}

package gladedaemon

import (
	"slices"
	"sync"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

// usage counts the generations of this VM by target.
type usage struct {
	mu      sync.Mutex
	targets map[gladeapi.Target]int
}

func (u *usage) add(t gladeapi.Target, n int) {
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

// withdrawn returns the targets in use that a state no longer has.
func (u *usage) withdrawn(s *gladenote.State) []string {
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

// Track notes which target a generation runs on until it ends.
func (n *Notes) Track(r *gladestream.Run) {
	target := r.Journal.Generation.Target
	n.use.add(target, 1)
	if !n.State().InForce(target) {
		n.publish(n.State())
	}
	go func() {
		<-r.Done
		n.use.add(target, -1)
		if s := n.State(); !s.InForce(target) {
			n.publish(s)
		}
	}()
}

// Unused tells whether all live VMs hold a state and none runs generations on a target that it withdrew.
func (n *Notes) Unused(s *gladenote.State, target string) bool {
	if slices.Contains(n.use.withdrawn(s), target) {
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

package gladedecider

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladerollout"
)

// faultSeeds is the number of seeds of TestAnyFaults.
const faultSeeds = 150

// alternate decides like stay, and changes the share at each opportunity.
func alternate(in gladerollout.Input) gladerollout.Decision {
	d := stay(in)
	if d.Reason == "" {
		d.Status.Share, d.Reason = 0.3-d.Status.Share, "changed"
	}
	return d
}

// injectFault injects one fault, or ends one.
func (w *world) injectFault(r *rand.Rand) string {
	w.mu.Lock()
	v := w.vms[r.IntN(len(w.vms))]
	w.mu.Unlock()
	switch kind := r.IntN(9); kind {
	case 0:
		v.freeze()
		return "freeze " + v.name
	case 1, 2:
		v.thaw()
		return "thaw " + v.name
	case 3:
		w.set(func() { v.cut = !v.cut })
		return "cut " + v.name
	case 4:
		w.set(func() { v.isolated = !v.isolated })
		return "isolate " + v.name
	case 5:
		w.set(func() { w.down = !w.down })
		return "store down"
	case 6:
		w.set(func() { w.losesAnswers = !w.losesAnswers })
		return "answers lost"
	case 7:
		w.set(func() { w.delay = time.Duration(r.IntN(3)) * time.Second })
		return "writes late"
	default:
		w.set(func() { v.demoted = !v.demoted })
		return "demote " + v.name
	}
}

// Guards against faults that no other test combines: two VMs that write in one term, a term that goes back, and an order that nobody
// decides on once the faults are over.
func TestAnyFaults(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		runWorld(t, 3, func(w *world) {
			r := rand.New(rand.NewPCG(seed, 1))
			w.set(func() { w.decide = alternate })
			w.put("v2")
			var faults []string
			for range 12 {
				advance(time.Duration(r.IntN(2500)) * time.Millisecond)
				faults = append(faults, w.injectFault(r))
			}
			w.set(func() {
				w.down, w.losesAnswers, w.delay = false, false, 0
				for _, v := range w.vms {
					v.cut, v.isolated, v.demoted = false, false, false
				}
			})
			for _, v := range w.vms {
				v.thaw()
			}
			advance(time.Millisecond)
			w.set(w.distribute)
			advance(silenceLimit<<maxLosses + 3*time.Second)
			before := len(w.statuses())
			advance(3 * time.Second)
			w.Check(len(w.statuses()) > before, qt.IsTrue, qt.Commentf("seed %d, %v: nobody decides", seed, faults))
			all := w.statuses()
			writers := map[int64]string{}
			for i, s := range all {
				where := qt.Commentf("seed %d, %v: %s", seed, faults, fmt.Sprint(all[:i+1]))
				w.Check(writers[s.Term] == "" || writers[s.Term] == s.vm, qt.IsTrue, where)
				writers[s.Term] = s.vm
				w.Check(i == 0 || s.Term >= all[i-1].Term, qt.IsTrue, where)
			}
		})
		if t.Failed() {
			return
		}
	}
}

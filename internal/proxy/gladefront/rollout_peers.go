package gladefront

import (
	"slices"

	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladedecider"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladefeed"
)

// rolloutCandidates returns the VMs that read the store for their failure domains, which may decide on roll-outs.
func (f *Front) rolloutCandidates() []string {
	self, own := f.config.Settings.VM, f.config.Settings.FailureDomain
	readers := f.readers()
	if f.isReading() {
		readers[own] = []string{self}
	}
	var vms []string
	for _, names := range readers {
		vms = append(vms, names[0])
	}
	return vms
}

// heartbeatReceivers is the number of VMs of each failure domain that hear from a decider. The first one may have lost the store, so that
// another one reads it.
const heartbeatReceivers = 3

// readers returns the names of the other live VMs in the order of readers, by failure domain.
func (f *Front) readers() map[string][]string {
	candidates := map[string][]gladefeed.Candidate{}
	for _, m := range f.node.Members() {
		if !m.Leaving {
			candidates[m.FailureDomain] = append(candidates[m.FailureDomain], candidate(m))
		}
	}
	domains := map[string][]string{}
	for domain, vms := range candidates {
		slices.SortFunc(vms, func(a, b gladefeed.Candidate) int {
			if a.Precedes(b) {
				return -1
			}
			return 1 // names differ
		})
		for _, c := range vms {
			domains[domain] = append(domains[domain], c.VM)
		}
	}
	return domains
}

func (f *Front) sendRolloutStop(n gladedecider.Stop) {
	f.onRolloutStop(n)
	if err := gladepeer.Notify(f.node, rolloutStopNotice, n); err != nil {
		f.log.Warn("Stop of a version not reported to the other VMs.", "service", n.Service, "target", n.Target, "reason", err)
	}
}

// onRolloutStop stops the use of a version, unless the notice belongs to an earlier order.
func (f *Front) onRolloutStop(n gladedecider.Stop) {
	r, _, ok := f.rollouts.registry.Get(n.Service, bootTime())
	if !ok || !r.Pending() || r.Target != n.Target || r.Duration.Seconds() != n.DurationS {
		return
	}
	f.rollouts.selector.Stop(n.Service, n.Target)
	x := f.rollouts
	x.mu.Lock()
	defer x.mu.Unlock()
	if last := x.stopped[n.Service]; last.Target != n.Target || last.DurationS != n.DurationS {
		x.stopped[n.Service] = n
		f.countCall("rollout.stopped")
		f.log.Warn("Version stopped.", "service", n.Service, "target", n.Target, "reason", n.Reason)
	}
}

// sendReport sends this VM's evidence to the decider of an order.
func (f *Front) sendReport(vm string, r gladedecider.Report) {
	if vm == f.config.Settings.VM {
		f.rollouts.decider.Receive(r)
		return
	}
	f.countCall("rollout.reports")
	f.sendRolloutMessage(rolloutMessage{Report: &r}, vm)
}

// sendHeartbeat tells the VMs that may decide that this VM does.
func (f *Front) sendHeartbeat(b gladedecider.Heartbeat) {
	var vms []string
	for _, names := range f.readers() {
		vms = append(vms, names[:min(heartbeatReceivers, len(names))]...)
	}
	f.sendRolloutMessage(rolloutMessage{Heartbeat: &b}, vms...)
}

func (f *Front) sendRolloutMessage(m rolloutMessage, vms ...string) {
	var addresses []string
	for _, member := range f.node.Members() {
		for _, vm := range vms {
			if address, err := offsetPort(member.PeerAddress, rolloutPortOffset); vm == member.Name && err == nil {
				addresses = append(addresses, address)
			}
		}
	}
	f.rollouts.mu.Lock()
	socket := f.rollouts.socket
	f.rollouts.mu.Unlock()
	if socket == nil { // this VM is starting; what is sent here is sent again
		return
	}
	if err := socket.Send(m, addresses); err != nil {
		f.log.Warn("Evidence on a roll-out not sent.", "to", vms, "reason", err)
	}
}

func (f *Front) onRolloutMessage(m rolloutMessage) {
	f.rollouts.mu.Lock()
	decider := f.rollouts.decider
	f.rollouts.mu.Unlock()
	switch {
	case decider == nil: // this VM is starting
	case m.Report != nil:
		decider.Receive(*m.Report)
	case m.Heartbeat != nil:
		decider.HandleHeartbeat(*m.Heartbeat)
	}
}

package gladerollout

import "time"

// Input is what a decision depends on.
type Input struct {
	Rollout Rollout
	// Elapsed is the time since the order was first seen.
	Elapsed time.Duration
	// SinceAnswer is the time since the target's first answer, zero if there was none.
	SinceAnswer time.Duration
	// Evidence holds the last report of each VM.
	Evidence []Evidence
	// TargetServers and OldServers count the servers that may get requests.
	TargetServers, OldServers int
	// OldRuns counts the runs still on old servers over all VMs, and OldRunsWithoutCopy those of them that have no copy
	// on a server of the target version.
	OldRuns, OldRunsWithoutCopy int
	// StoreCurrent reports that the store was reached recently. Without it the share does not rise.
	StoreCurrent bool
	// CanaryShare and CanarySlack bound the requests at a bad version: the share of all requests plus the slack.
	CanaryShare, CanarySlack float64
}

// Decision is the status that an order is to have.
type Decision struct {
	Status Status
	// Stop reports that all VMs must be told at once to stop using the target.
	Stop bool
	// Reason is why, as logged. It is empty if the status stays as it is.
	Reason string
}

// Decide returns the status that the order is to have.
func Decide(in Input) Decision { return Decision{Status: in.Rollout.Status} }

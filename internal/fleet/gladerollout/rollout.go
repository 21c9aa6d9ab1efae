package gladerollout

import "time"

// State is how far the system has come with an order.
type State string

// The states of an order. An order without status has the state "".
const (
	InProgress State = "in_progress"
	Complete   State = "complete"
	Reverted   State = "reverted"
)

// Status is what the system writes about an order.
type Status struct {
	State  State  `json:"state"`
	Target string `json:"target"`
	// Share is the fraction of the service's requests that are meant for the target.
	Share float64 `json:"share"`
	// RouteShares holds the fractions of routes that differ from Share.
	RouteShares map[string]float64 `json:"routeShares,omitempty"`

	// Decider is the VM that decides, and Term rises with each change of it.
	Decider string `json:"decider"`
	Term    int64  `json:"term"`
	// DurationS is the time limit of the order that the status belongs to.
	DurationS float64 `json:"durationS"`
	// Concentrate is the fraction of the target's servers that are used, zero for all.
	Concentrate float64 `json:"concentrate,omitempty"`
	// StepS is the time since the order was first seen at which the shares last changed.
	StepS float64 `json:"stepS,omitempty"`
	// Rate is the number of requests per second of the service on which the shares are based.
	Rate float64 `json:"rate,omitempty"`
	// From is the old version if the service has only one.
	From string `json:"from,omitempty"`
	// Withdrawn is the target of an earlier order that did not complete. Its servers may still be listed.
	Withdrawn string `json:"withdrawn,omitempty"`
}

// Rollout is an operator's order with its status, at a revision of its object.
type Rollout struct {
	Service, Target string
	Duration        time.Duration
	Revision        int64
	Status          Status
}

// Pending reports whether the order has not reached its end: its status is not final, or belongs to another order.
func (r Rollout) Pending() bool {
	return !r.statusApplies() || r.Status.State != Complete && r.Status.State != Reverted
}

// statusApplies reports whether the status belongs to this order rather than to an earlier one.
func (r Rollout) statusApplies() bool {
	return r.Status.Target == r.Target && r.Status.DurationS == r.Duration.Seconds()
}

// before returns what the status of an earlier order says about this one: the version in use, empty if it is not known, and the
// target of the last order that did not complete.
func (r Rollout) before() (from, withdrawn string) {
	s := r.Status
	switch {
	case s.Target == "":
		return "", ""
	case s.State == Complete:
		return s.Target, ""
	case s.Target != r.Target:
		return s.From, s.Target
	case s.Withdrawn == r.Target:
		return s.From, ""
	}
	return s.From, s.Withdrawn
}

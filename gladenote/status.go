package gladenote

import "time"

// Status reports whether a note is in force in all failure domains, with the reasons for those in which it is not.
type Status struct {
	Number  int64          `json:"number"`
	Newest  int64          `json:"newest"`
	InForce bool           `json:"inForce"`
	Domains []DomainStatus `json:"failureDomains"`
}

// DomainStatus is the status of a note in one failure domain.
type DomainStatus struct {
	FailureDomain string `json:"failureDomain"`
	InForce       bool   `json:"inForce"`
	// VMs is the number of live VMs.
	VMs int `json:"vms"`
	// Applied is the number of live VMs that hold the note.
	Applied int `json:"applied"`
	// Lagging lists the names of live VMs that do not hold the note.
	Lagging []string `json:"lagging,omitempty"`
	// Engines is the last known report on the engines; it is nil if there is none.
	Engines *EngineReport `json:"engines,omitempty"`
	// Reasons lists why the note is not in force here.
	Reasons []string `json:"reasons,omitempty"`
	// LastHeard is the time of the last answer from the failure domain; it is set only if no VM there answers now.
	LastHeard time.Time `json:"heard,omitzero"`
	// AgeMillis is the time since LastHeard, in milliseconds.
	AgeMillis int64 `json:"ageMillis,omitempty"`
}

// EngineReport is the state of one failure domain's engines, as reported by the VM that sends them orders.
type EngineReport struct {
	FailureDomain string `json:"failureDomain"`
	FencingNumber int64  `json:"fencingNumber"`
	// Number is the number of the note with which the engines were compared.
	Number int64 `json:"number"`
	// Wanted is the number of pairs of an engine and a target that it should hold.
	Wanted int `json:"wanted"`
	// Ready is the number of wanted pairs whose target is ready on the engine.
	Ready int `json:"ready"`
	// Missing lists some of the targets that are not ready, the engines that do not answer and the orders that failed.
	Missing []string `json:"missing,omitempty"`
	// Taken is the time of the comparison.
	Taken time.Time `json:"taken"`
}

// Converged reports whether the engines hold all targets that a note requires; a nil report holds none.
func (r *EngineReport) Converged(number int64) bool {
	return r != nil && r.Number >= number && r.Ready == r.Wanted
}

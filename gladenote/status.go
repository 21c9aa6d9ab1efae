package gladenote

import "time"

// Status says whether a note is fully in force, and otherwise where it is not and why.
type Status struct {
	Number  int64          `json:"number"`
	Newest  int64          `json:"newest"`
	InForce bool           `json:"inForce"`
	Domains []DomainStatus `json:"failureDomains"`
}

// DomainStatus is the part of a status that concerns one failure domain.
type DomainStatus struct {
	FailureDomain string `json:"failureDomain"`
	InForce       bool   `json:"inForce"`
	// VMs is the number of live VMs and Applied of those that hold the note.
	VMs     int `json:"vms"`
	Applied int `json:"applied"`
	// Lagging names live VMs that do not hold the note.
	Lagging []string `json:"lagging,omitempty"`
	// Engines is what the order-giver last reported, if any was heard.
	Engines *EngineReport `json:"engines,omitempty"`
	// Reasons says why the note is not in force here.
	Reasons []string `json:"reasons,omitempty"`
	// Heard is when the failure domain was last heard of, if it can't be heard now.
	Heard time.Time `json:"heard,omitzero"`
	// AgeMillis is the time since Heard, in milliseconds.
	AgeMillis int64 `json:"ageMillis,omitempty"`
}

// EngineReport is an order-giver's account of the engines of its failure domain.
type EngineReport struct {
	FailureDomain string `json:"failureDomain"`
	FencingNumber int64  `json:"fencingNumber"`
	// Number is the note that the engines were compared with.
	Number int64 `json:"number"`
	// Wanted and Ready count pairs of an engine and a target that it should hold.
	Wanted int `json:"wanted"`
	Ready  int `json:"ready"`
	// Missing names some of those that are not ready, with the reason.
	Missing []string  `json:"missing,omitempty"`
	Taken   time.Time `json:"taken"`
}

// Holds tells whether the engines hold all that a note asks.
func (r *EngineReport) Holds(number int64) bool {
	return r != nil && r.Number >= number && r.Ready == r.Wanted
}

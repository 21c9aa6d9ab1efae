package gladerollout

import "time"

// Evidence is what one VM has seen of a service, cumulative since the VM's start. A later report replaces an earlier one.
type Evidence struct {
	VM string `json:"vm"`
	// Start distinguishes the incarnations of a VM.
	Start   int64  `json:"start"`
	Service string `json:"service"`
	// Age is the time since the report arrived, set by the receiver.
	Age time.Duration `json:"-"`
}

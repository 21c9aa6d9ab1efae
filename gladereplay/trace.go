package gladereplay

import (
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecaller"
	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
)

// Version is the version of the trace format that this package reads and writes.
const Version = 1

// Trace is a sequence of events to replay on a cluster.
type Trace struct {
	Header Header
	Events []Event
}

// Header is the first line of a trace.
type Header struct {
	Trace    int          `json:"trace"`
	Name     string       `json:"name"`
	About    string       `json:"about,omitempty"`
	Workload string       `json:"workload,omitempty"`
	Seed     uint64       `json:"seed"`
	Cluster  ClusterShape `json:"cluster"`
	// Limit is the timeout of each request; zero means 10 minutes.
	Limit gladeconfig.Duration `json:"limit,omitzero"`
}

// ClusterShape describes the cluster that a trace runs on. The counts are per failure domain.
type ClusterShape struct {
	FailureDomains []string `json:"failureDomains"`
	VMs            int      `json:"vms"`
	Engines        int      `json:"engines"`
	Services       int      `json:"services,omitempty"`
	// TokenTime is the engines' time per token; zero means the stand-in's default.
	TokenTime gladeconfig.Duration `json:"tokenTime,omitzero"`
	// Settings is TOML that overrides the default settings of every VM.
	Settings string `json:"settings,omitempty"`
	// Note replaces the workload's first release note, if set.
	Note *gladenote.Note `json:"note,omitempty"`
}

// Event is one line of a trace: a time and exactly one of the other exported fields.
type Event struct {
	At       gladeconfig.Duration `json:"at,omitzero"`
	Generate *Generate            `json:"generate,omitempty"`
	Call     *Call                `json:"call,omitempty"`
	Fault    *Fault               `json:"fault,omitempty"`
	Note     *gladenote.Note      `json:"note,omitempty"`
	Stop     *Stop                `json:"stop,omitempty"`
	Expect   *Expect              `json:"expect,omitempty"`

	line int
}

// Generate is a request for a generation. Expectations refer to it by ID.
type Generate struct {
	ID string `json:"id"`
	gladecaller.Request
}

// Call is a call to a plain service. Expectations refer to it by ID.
type Call struct {
	ID string `json:"id"`
	gladecaller.Call
}

// Stop drains one VM, or all VMs one after another if Rolling is set.
type Stop struct {
	VM string `json:"vm,omitempty"`
	// Replace starts a new VM in the same failure domain before the stop; a rolling stop always does so.
	Replace bool `json:"replace,omitempty"`
	Rolling bool `json:"rolling,omitempty"`
}

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of fault.
const (
	KillEngine        FaultKind = "killEngine"
	RestartEngine     FaultKind = "restartEngine"
	KillVM            FaultKind = "killVM"
	ReplaceVM         FaultKind = "replaceVM"
	Pause             FaultKind = "pause"
	KillFailureDomain FaultKind = "killFailureDomain"
	CutFailureDomains FaultKind = "cutFailureDomains"
	CutPlatform       FaultKind = "cutPlatform"
	LeaveBackend      FaultKind = "leaveBackend"
	KillService       FaultKind = "killService"
	EngineFault       FaultKind = "engineFault"
	ServiceFault      FaultKind = "serviceFault"
	PlatformFault     FaultKind = "platformFault"
)

// Targets that select engines by their state instead of by identifier.
const (
	// TargetBusy is the first engine that has a stream when the fault begins.
	TargetBusy = "busy"
	// TargetAll is every engine.
	TargetAll = "all"
)

// Fault is a failure to inject.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Target is a VM, a backend server, a failure domain, TargetBusy or TargetAll.
	Target string `json:"target,omitempty"`
	// Other is the second failure domain of CutFailureDomains.
	Other string `json:"other,omitempty"`
	// For is the duration of the fault, or the time that a leaving backend server has left.
	For gladeconfig.Duration `json:"for,omitzero"`
	// Engine is the fault of an engine for EngineFault.
	Engine *gladestandin.Faults `json:"engine,omitempty"`
	// Service is the fault of a plain service for ServiceFault.
	Service *gladestandin.ServiceFault `json:"service,omitempty"`
	// Platform is the fault of the platform for PlatformFault.
	Platform *gladestandin.PlatformFaults `json:"platform,omitempty"`
}

// Outcome is the way in which a request ended.
type Outcome string

// The outcomes of requests.
const (
	// Whole means that the caller received all tokens of a generation or the plain service's answer to a call.
	Whole Outcome = "whole"
	// Refused means that the system refused or ended the request with an error.
	Refused Outcome = "refused"
	// Cut means that the caller received neither a complete answer nor a refusal.
	Cut Outcome = "cut"
)

// Expect is the expected outcome of the request with an ID or of the note with a number.
type Expect struct {
	ID      string    `json:"id,omitempty"`
	Outcome []Outcome `json:"outcome,omitempty"`
	// Codes are the allowed codes of a refusal; empty allows any.
	Codes []gladeapi.Code `json:"codes,omitempty"`
	// Ran is the required ran value of a refusal, if set.
	Ran gladeapi.Ran `json:"ran,omitempty"`
	// Gap is the longest allowed time between two tokens, if set.
	Gap gladeconfig.Duration `json:"gap,omitzero"`
	// Within is the longest allowed time of the request, or from the submission of the note until it is in force.
	Within gladeconfig.Duration `json:"within,omitzero"`
	// Runs is the exact number of runs of the call's key, if set.
	Runs *int `json:"runs,omitempty"`
	// Note is the number of the note, if the outcome is that of a note.
	Note int64 `json:"note,omitempty"`
}

func (t *Trace) limit() time.Duration {
	if t.Header.Limit == 0 {
		return defaultRequestLimit
	}
	return t.Header.Limit.D()
}

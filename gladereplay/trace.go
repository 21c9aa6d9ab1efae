package gladereplay

import (
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladecaller"
	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
)

// Version is the version of the trace format.
const Version = 1

// Trace is one recorded run.
type Trace struct {
	Header Header
	Events []Event
}

// Header is the first line of a trace.
type Header struct {
	Trace    int    `json:"trace"`
	Name     string `json:"name"`
	About    string `json:"about,omitempty"`
	Workload string `json:"workload,omitempty"`
	Seed     uint64 `json:"seed"`
	Cluster  Shape  `json:"cluster"`
	// Limit bounds the time of each request; zero means 10 minutes.
	Limit gladeconfig.Duration `json:"limit,omitzero"`
}

// Shape is the cluster that a trace runs on; the counts are for each failure domain.
type Shape struct {
	FailureDomains []string `json:"failureDomains"`
	VMs            int      `json:"vms"`
	Engines        int      `json:"engines"`
	Services       int      `json:"services,omitempty"`
	// TokenTime is the engines' time from one token to the next.
	TokenTime gladeconfig.Duration `json:"tokenTime,omitzero"`
	// Settings is TOML that every VM reads over the defaults.
	Settings string `json:"settings,omitempty"`
	// Note is the first release note, if the workload's own does not fit.
	Note *gladenote.Note `json:"note,omitempty"`
}

// Event is one line: a time and exactly one of the other fields.
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

// Generate is a request for tokens under a name that outcomes refer to.
type Generate struct {
	ID string `json:"id"`
	gladecaller.Request
}

// Call is a call of a plain service under a name that outcomes refer to.
type Call struct {
	ID string `json:"id"`
	gladecaller.Call
}

// Stop drains a VM, or all VMs one after another if Rolling is set.
type Stop struct {
	VM string `json:"vm,omitempty"`
	// Replace starts a new VM in the failure domain first.
	Replace bool `json:"replace,omitempty"`
	Rolling bool `json:"rolling,omitempty"`
}

// FaultKind names what fails.
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

// Targets that stand for engines by what they do.
const (
	// TargetBusy is an engine that runs a stream when the fault happens.
	TargetBusy = "busy"
	// TargetAll is every engine.
	TargetAll = "all"
)

// Fault is one failure.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Target is a VM, a backend server, a failure domain or TargetBusy.
	Target string `json:"target,omitempty"`
	// Other is the second failure domain of a cut.
	Other string `json:"other,omitempty"`
	// For ends a pause or cut, and is the time that a leaving backend server is given.
	For gladeconfig.Duration `json:"for,omitzero"`
	// Engine, Service and Platform are what a stand-in does wrong until For is over.
	Engine   *gladestandin.Faults         `json:"engine,omitempty"`
	Service  *gladestandin.ServiceFault   `json:"service,omitempty"`
	Platform *gladestandin.PlatformFaults `json:"platform,omitempty"`
}

// Outcome is how a request is to end.
type Outcome string

// The outcomes of requests.
const (
	// Whole means that all tokens came, and for calls that the plain service's answer came.
	Whole Outcome = "whole"
	// Refused means that the system refused or ended the request with an error.
	Refused Outcome = "refused"
	// Cut means that the caller lost the answer.
	Cut Outcome = "cut"
)

// Expect is a stated outcome of a request, or of the note with a number.
type Expect struct {
	ID      string    `json:"id,omitempty"`
	Outcome []Outcome `json:"outcome,omitempty"`
	// Codes are the codes allowed for a refused request; none allows any.
	Codes []gladeapi.Code `json:"codes,omitempty"`
	// Ran is what a refusal must say, if set.
	Ran gladeapi.Ran `json:"ran,omitempty"`
	// Gap bounds the time between two tokens, Within that of the whole request or of the note to be in force.
	Gap    gladeconfig.Duration `json:"gap,omitzero"`
	Within gladeconfig.Duration `json:"within,omitzero"`
	// Runs is the exact number of runs of the call's key, if set.
	Runs *int  `json:"runs,omitempty"`
	Note int64 `json:"note,omitempty"`
}

func (t *Trace) limit() time.Duration {
	if t.Header.Limit == 0 {
		return defaultLimit
	}
	return t.Header.Limit.D()
}

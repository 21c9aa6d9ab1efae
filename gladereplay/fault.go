package gladereplay

import (
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladecluster"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
)

// faultSpec describes which fields a kind of fault requires and how the fault begins and ends.
type faultSpec struct {
	needsTarget, needsOther, needsDuration bool
	begin                                  func(*replayer, *Fault) error
	end                                    func(*replayer, *Fault) error
}

var faults = map[FaultKind]faultSpec{
	KillEngine: {needsTarget: true, begin: func(r *replayer, f *Fault) error {
		return r.eachEngine(f.Target, func(e *gladecluster.Server) error {
			e.Kill()
			return nil
		})
	}},
	RestartEngine: {needsTarget: true, begin: func(r *replayer, f *Fault) error {
		return r.eachEngine(f.Target, func(e *gladecluster.Server) error { return r.cluster.RestartEngine(e.Backend.ID) })
	}},
	KillVM: {needsTarget: true, begin: func(r *replayer, f *Fault) error {
		v, err := r.cluster.VM(f.Target)
		if err != nil {
			return err
		}
		r.markFaulted(v.Name)
		v.Kill()
		return nil
	}},
	ReplaceVM: {needsTarget: true, begin: func(r *replayer, f *Fault) error {
		_, err := r.cluster.ReplaceVM(f.Target)
		return err
	}},
	Pause: {needsTarget: true, needsDuration: true,
		begin: func(r *replayer, f *Fault) error {
			r.markFaulted(f.Target)
			return r.cluster.Pause(f.Target)
		},
		end: func(r *replayer, f *Fault) error { return r.cluster.Resume(f.Target) },
	},
	KillFailureDomain: {needsTarget: true, begin: func(r *replayer, f *Fault) error {
		for _, v := range r.cluster.LiveVMs() {
			if v.FailureDomain == f.Target {
				r.markFaulted(v.Name)
			}
		}
		r.cluster.KillFailureDomain(f.Target)
		return nil
	}},
	CutFailureDomains: {needsTarget: true, needsOther: true, needsDuration: true,
		begin: func(r *replayer, f *Fault) error { return r.cluster.CutFailureDomains(f.Target, f.Other) },
		end:   func(r *replayer, f *Fault) error { return r.cluster.HealFailureDomains(f.Target, f.Other) },
	},
	CutPlatform: {needsDuration: true,
		begin: func(r *replayer, f *Fault) error { return r.cluster.CutPlatform(f.Target) },
		end:   func(r *replayer, f *Fault) error { return r.cluster.HealPlatform(f.Target) },
	},
	KillService: {needsTarget: true, begin: func(r *replayer, f *Fault) error {
		s, err := r.cluster.Service(f.Target)
		if err != nil {
			return err
		}
		s.Kill()
		return nil
	}},
	EngineFault: {needsTarget: true, needsDuration: true,
		begin: func(r *replayer, f *Fault) error { return r.setEngineFaults(f.Target, f.Engine) },
		end:   func(r *replayer, f *Fault) error { return r.setEngineFaults(f.Target, nil) },
	},
	ServiceFault: {needsTarget: true, needsDuration: true,
		begin: func(r *replayer, f *Fault) error { return r.setServiceFault(f.Target, f.Service) },
		end:   func(r *replayer, f *Fault) error { return r.setServiceFault(f.Target, nil) },
	},
	PlatformFault: {needsDuration: true,
		begin: func(r *replayer, f *Fault) error { return r.setPlatformFaults(f.Platform) },
		end:   func(r *replayer, _ *Fault) error { return r.setPlatformFaults(nil) },
	},
	LeaveBackend: {needsTarget: true, needsDuration: true, begin: func(r *replayer, f *Fault) error {
		return r.eachEngine(f.Target, func(e *gladecluster.Server) error {
			r.recordLeaving(e.Backend.ID + "/" + e.Backend.Incarnation)
			return r.cluster.MarkLeaving(e.Backend.ID, f.For.D())
		})
	}},
}

// setEngineFaults sets the faults of one engine, or of all live engines for TargetAll; nil clears them.
func (r *replayer) setEngineFaults(target string, f *gladestandin.Faults) error {
	if f == nil {
		f = &gladestandin.Faults{}
	}
	for _, e := range r.cluster.LiveEngines() {
		if target == TargetAll || target == e.Backend.ID {
			e.Engine.SetFaults(*f)
		}
	}
	return nil
}

func (r *replayer) setServiceFault(target string, f *gladestandin.ServiceFault) error {
	s, err := r.cluster.Service(target)
	if err != nil {
		return err
	}
	if f == nil {
		f = &gladestandin.ServiceFault{}
	}
	s.Service.SetFault(*f)
	return nil
}

func (r *replayer) setPlatformFaults(f *gladestandin.PlatformFaults) error {
	if f == nil {
		f = &gladestandin.PlatformFaults{}
	}
	r.cluster.Platform.SetFaults(*f)
	return nil
}

// eachEngine calls f with the engine named by target, or with the first busy engine for TargetBusy.
func (r *replayer) eachEngine(target string, f func(*gladecluster.Server) error) error {
	if target != TargetBusy {
		e, err := r.cluster.Engine(target)
		if err != nil {
			return err
		}
		return f(e)
	}
	for _, e := range r.cluster.LiveEngines() {
		if e.Engine.ActiveStreams() > 0 {
			return f(e)
		}
	}
	return eris.Wrap(gladecluster.ErrUnknownHost, "no engine is busy")
}

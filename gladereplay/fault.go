package gladereplay

import (
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladecluster"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
)

// faultSpec says what a kind of fault needs and how it begins and ends.
type faultSpec struct {
	target, other, ends bool
	begin               func(*run, *Fault) error
	end                 func(*run, *Fault) error
}

var faults = map[FaultKind]faultSpec{
	KillEngine: {target: true, begin: func(r *run, f *Fault) error {
		return r.eachEngine(f.Target, func(e *gladecluster.Server) error {
			e.Kill()
			return nil
		})
	}},
	RestartEngine: {target: true, begin: func(r *run, f *Fault) error {
		return r.eachEngine(f.Target, func(e *gladecluster.Server) error { return r.cluster.RestartEngine(e.Backend.ID) })
	}},
	KillVM: {target: true, begin: func(r *run, f *Fault) error {
		v, err := r.cluster.VM(f.Target)
		if err != nil {
			return err
		}
		r.disturb(v.Name)
		v.Kill()
		return nil
	}},
	ReplaceVM: {target: true, begin: func(r *run, f *Fault) error {
		_, err := r.cluster.ReplaceVM(f.Target)
		return err
	}},
	Pause: {target: true, ends: true,
		begin: func(r *run, f *Fault) error {
			r.disturb(f.Target)
			return r.cluster.Pause(f.Target)
		},
		end: func(r *run, f *Fault) error { return r.cluster.Resume(f.Target) },
	},
	KillFailureDomain: {target: true, begin: func(r *run, f *Fault) error {
		for _, v := range r.cluster.LiveVMs() {
			if v.FailureDomain == f.Target {
				r.disturb(v.Name)
			}
		}
		r.cluster.KillFailureDomain(f.Target)
		return nil
	}},
	CutFailureDomains: {target: true, other: true, ends: true,
		begin: func(r *run, f *Fault) error { return r.cluster.CutFailureDomains(f.Target, f.Other) },
		end:   func(r *run, f *Fault) error { return r.cluster.HealFailureDomains(f.Target, f.Other) },
	},
	CutPlatform: {ends: true,
		begin: func(r *run, f *Fault) error { return r.cluster.CutPlatform(f.Target) },
		end:   func(r *run, f *Fault) error { return r.cluster.HealPlatform(f.Target) },
	},
	KillService: {target: true, begin: func(r *run, f *Fault) error {
		s, err := r.cluster.Service(f.Target)
		if err != nil {
			return err
		}
		s.Kill()
		return nil
	}},
	EngineFault: {target: true, ends: true,
		begin: func(r *run, f *Fault) error { return r.setEngineFaults(f.Target, f.Engine) },
		end:   func(r *run, f *Fault) error { return r.setEngineFaults(f.Target, nil) },
	},
	ServiceFault: {target: true, ends: true,
		begin: func(r *run, f *Fault) error { return r.setServiceFault(f.Target, f.Service) },
		end:   func(r *run, f *Fault) error { return r.setServiceFault(f.Target, nil) },
	},
	PlatformFault: {ends: true,
		begin: func(r *run, f *Fault) error { return r.setPlatformFaults(f.Platform) },
		end:   func(r *run, _ *Fault) error { return r.setPlatformFaults(nil) },
	},
	LeaveBackend: {target: true, ends: true, begin: func(r *run, f *Fault) error {
		return r.eachEngine(f.Target, func(e *gladecluster.Server) error {
			r.leaving(e.Backend.ID + "/" + e.Backend.Incarnation)
			return r.cluster.Leave(e.Backend.ID, f.For.D())
		})
	}},
}

// setEngineFaults sets the faults of one engine, or of all for TargetAll.
func (r *run) setEngineFaults(target string, f *gladestandin.Faults) error {
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

func (r *run) setServiceFault(target string, f *gladestandin.ServiceFault) error {
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

func (r *run) setPlatformFaults(f *gladestandin.PlatformFaults) error {
	if f == nil {
		f = &gladestandin.PlatformFaults{}
	}
	r.cluster.Platform.SetFaults(*f)
	return nil
}

// eachEngine calls f with the engine that a target names, or with one that is busy.
func (r *run) eachEngine(target string, f func(*gladecluster.Server) error) error {
	if target != TargetBusy {
		e, err := r.cluster.Engine(target)
		if err != nil {
			return err
		}
		return f(e)
	}
	for _, e := range r.cluster.LiveEngines() {
		if e.Engine.Running() > 0 {
			return f(e)
		}
	}
	return eris.Wrap(gladecluster.ErrUnknown, "no engine is busy")
}

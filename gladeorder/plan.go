package gladeorder

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
)

// engine is a live engine with its current and its wanted targets.
type engine struct {
	backend gladeapi.BackendServer
	// held is the set of targets that the engine has loaded and ready.
	held map[string]bool
	// wanted maps each target that the engine should hold to the order that loads it.
	wanted map[string]Order
}

// assignTargets sets the wanted targets of each engine under a state.
func assignTargets(s *gladenote.State, engines []*engine) {
	for _, e := range engines {
		e.wanted = map[string]Order{}
	}
	for _, v := range s.Versions {
		pool := s.Models[v.Model].Pool
		members := slices.DeleteFunc(slices.Clone(engines), func(e *engine) bool { return e.backend.Pool != pool })
		for _, e := range assignedEngines(&v, members) {
			target := gladeapi.Target{Model: v.Model, Version: v.Name}
			e.wanted[target.String()] = Order{Kind: LoadModel, Model: v.Model, Version: v.Name, Weights: v.Weights}
			for _, a := range s.Adapters {
				if a.Model == v.Model {
					target.Adapter = a.Name + ":" + a.Version
					e.wanted[target.String()] = Order{
						Kind: LoadAdapter, Model: v.Model, Version: v.Name, Adapter: target.Adapter, Weights: a.Weights,
					}
				}
			}
		}
	}
}

// assignedEngines returns the engines that should hold a version. Rendezvous hashing selects them if not all should.
func assignedEngines(v *gladenote.Version, members []*engine) []*engine {
	if v.Replicas == 0 || v.Replicas >= len(members) {
		return members
	}
	rank := func(e *engine) uint64 { return xxhash.Sum64String(v.Model + "@" + v.Name + "/" + e.backend.ID) }
	slices.SortFunc(members, func(a, b *engine) int { return cmp.Compare(rank(b), rank(a)) })
	return members[:v.Replicas]
}

// missingLoads returns the orders for wanted targets that the engine lacks.
// An adapter is left out until the engine holds its model version.
func (e *engine) missingLoads() []Order {
	var orders []Order
	for _, target := range slices.Sorted(maps.Keys(e.wanted)) {
		o := e.wanted[target]
		base := gladeapi.Target{Model: o.Model, Version: o.Version}
		if e.held[target] || o.Kind == LoadAdapter && !e.held[base.String()] {
			continue
		}
		orders = append(orders, o)
	}
	return orders
}

// surplusUnloads returns the orders that unload unwanted targets which the guard allows to unload.
func (e *engine) surplusUnloads(g *unloadGuard) []Order {
	seen := map[Order]bool{}
	var orders []Order
	for _, held := range slices.Sorted(maps.Keys(e.held)) {
		if _, ok := e.wanted[held]; ok {
			continue
		}
		target, err := gladeapi.ParseTarget(held)
		if err != nil || !g.mayUnload(e, target) {
			continue
		}
		o := Order{Kind: UnloadModel, Model: target.Model, Version: target.Version}
		if target.Adapter != "" {
			if e.adapterWanted(target) || g.adapterInUse(e, target) {
				continue
			}
			o = Order{Kind: UnloadAdapter, Model: target.Model, Adapter: target.Adapter}
		}
		if !seen[o] {
			seen[o] = true
			orders = append(orders, o)
		}
	}
	return orders
}

// adapterWanted reports whether the engine should hold the adapter on any version of the model.
func (e *engine) adapterWanted(t gladeapi.Target) bool {
	for _, o := range e.wanted {
		if o.Adapter == t.Adapter && o.Model == t.Model {
			return true
		}
	}
	return false
}

// unloadGuard decides which targets may be unloaded.
type unloadGuard struct {
	state   *gladenote.State
	engines []*engine
	// unused reports whether no generation can run on a target that is no longer in force.
	unused func(target string) bool
}

// mayUnload reports whether an engine may unload a target. A target in force must be ready on all other engines that
// should hold it; a target that is not in force must be unused.
func (g *unloadGuard) mayUnload(e *engine, t gladeapi.Target) bool {
	if t.Adapter == "" && !g.adaptersUnused(e, t) {
		return false
	}
	if !g.state.InForce(t) {
		return g.unused(t.String())
	}
	return g.readyElsewhere(e, t.String())
}

// readyElsewhere reports whether at least one other engine should hold the target and all of those have it ready.
func (g *unloadGuard) readyElsewhere(e *engine, target string) bool {
	ready := 0
	for _, other := range g.engines {
		if _, wanted := other.wanted[target]; !wanted || other == e {
			continue
		}
		if !other.held[target] {
			return false
		}
		ready++
	}
	return ready > 0
}

// adaptersUnused reports whether the adapters that the engine holds on a version are all in force or unused.
func (g *unloadGuard) adaptersUnused(e *engine, t gladeapi.Target) bool {
	for held := range e.held {
		other, err := gladeapi.ParseTarget(held)
		if err != nil || other.Adapter == "" || other.Model != t.Model || other.Version != t.Version {
			continue
		}
		if !g.state.InForce(other) && !g.unused(held) {
			return false
		}
	}
	return true
}

// adapterInUse reports whether the engine holds the adapter on a version where it is not in force but still in use.
func (g *unloadGuard) adapterInUse(e *engine, t gladeapi.Target) bool {
	for held := range e.held {
		other, err := gladeapi.ParseTarget(held)
		if err == nil && other.Model == t.Model && other.Adapter == t.Adapter && !g.state.InForce(other) && !g.unused(held) {
			return true
		}
	}
	return false
}

package gladestandin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladeorder"
)

// OrderConfig configures how an engine handles orders.
type OrderConfig struct {
	// ChecksFencing refuses orders with a lower fencing number than an earlier order.
	ChecksFencing bool
	// LoadTime is the time from an order to load until the weights are ready.
	LoadTime time.Duration
}

// OrderCounts counts the orders to an engine since its start.
type OrderCounts struct {
	Loads   int `json:"loads"`
	Unloads int `json:"unloads"`
	// Refused is the number of orders refused for an old fencing number.
	Refused int `json:"refused"`
	// Stale is the number of orders with an old fencing number that were carried out without ChecksFencing.
	Stale int `json:"old"`
}

// engineOrders holds the weights that an engine was ordered to load.
type engineOrders struct {
	mu             sync.Mutex
	config         OrderConfig
	highestFencing int64
	counts         OrderCounts
	// models maps the target of a model to the time at which its weights are ready.
	models map[gladeapi.Target]time.Time
	// adapters maps the target of an adapter to the time at which its weights are ready.
	adapters     map[gladeapi.Target]time.Time
	readyTargets map[string]bool
}

// SetOrders sets how the engine handles further orders.
func (e *Engine) SetOrders(c OrderConfig) {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	e.orders.config = c
}

// OrderCounts returns the counts of the orders to the engine.
func (e *Engine) OrderCounts() OrderCounts {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return e.orders.counts
}

func (e *Engine) routeOrders() {
	e.mux.HandleFunc("POST /v1/load_model", func(w http.ResponseWriter, r *http.Request) {
		serveOrder(e, w, r, func(o *gladeorder.ModelOrder) int64 { return o.FencingNumber }, e.loadModel)
	})
	e.mux.HandleFunc("POST /v1/unload_model", func(w http.ResponseWriter, r *http.Request) {
		serveOrder(e, w, r, func(o *gladeorder.ModelOrder) int64 { return o.FencingNumber }, e.unloadModel)
	})
	e.mux.HandleFunc("POST /v1/load_lora_adapter", func(w http.ResponseWriter, r *http.Request) {
		serveOrder(e, w, r, func(o *gladeorder.AdapterOrder) int64 { return o.FencingNumber }, e.loadAdapter)
	})
	e.mux.HandleFunc("POST /v1/unload_lora_adapter", func(w http.ResponseWriter, r *http.Request) {
		serveOrder(e, w, r, func(o *gladeorder.AdapterOrder) int64 { return o.FencingNumber }, e.unloadAdapter)
	})
}

func serveOrder[T any](e *Engine, w http.ResponseWriter, r *http.Request, number func(*T) int64, act func(*T)) {
	var o T
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	if n := number(&o); n < e.orders.highestFencing {
		if e.orders.config.ChecksFencing {
			e.orders.counts.Refused++
			http.Error(w, fmt.Sprintf("fencing number %d is older than %d", n, e.orders.highestFencing), http.StatusPreconditionFailed)
			return
		}
		e.orders.counts.Stale++
	} else {
		e.orders.highestFencing = n
	}
	e.initialiseTargets()
	act(&o)
	e.updateReadyTargets()
}

// initialiseTargets records the targets of the engine's configuration as loaded, on the first order.
func (e *Engine) initialiseTargets() {
	if e.orders.models != nil {
		return
	}
	e.orders.models = map[gladeapi.Target]time.Time{}
	e.orders.adapters = map[gladeapi.Target]time.Time{}
	e.orders.readyTargets = map[string]bool{}
	for _, text := range e.Targets() {
		e.orders.readyTargets[text] = true
		t, err := gladeapi.ParseTarget(text)
		switch {
		case err != nil:
		case t.Adapter == "":
			e.orders.models[t] = time.Now()
		default:
			e.orders.adapters[gladeapi.Target{Model: t.Model, Adapter: t.Adapter}] = time.Now()
		}
	}
}

func (e *Engine) loadModel(o *gladeorder.ModelOrder) {
	e.startLoad(e.orders.models, gladeapi.Target{Model: o.Model, Version: o.Version})
}

func (e *Engine) loadAdapter(o *gladeorder.AdapterOrder) {
	e.startLoad(e.orders.adapters, gladeapi.Target{Model: o.Base, Adapter: o.Name})
}

func (e *Engine) startLoad(weights map[gladeapi.Target]time.Time, t gladeapi.Target) {
	if _, ok := weights[t]; ok {
		return
	}
	e.orders.counts.Loads++
	weights[t] = time.Now().Add(e.orders.config.LoadTime)
	if e.orders.config.LoadTime == 0 {
		return
	}
	time.AfterFunc(e.orders.config.LoadTime, func() {
		e.orders.mu.Lock()
		defer e.orders.mu.Unlock()
		e.updateReadyTargets()
	})
}

func (e *Engine) unloadModel(o *gladeorder.ModelOrder) {
	t := gladeapi.Target{Model: o.Model, Version: o.Version}
	if _, ok := e.orders.models[t]; ok {
		e.orders.counts.Unloads++
		delete(e.orders.models, t)
	}
}

func (e *Engine) unloadAdapter(o *gladeorder.AdapterOrder) {
	t := gladeapi.Target{Model: o.Base, Adapter: o.Name}
	if _, ok := e.orders.adapters[t]; ok {
		e.orders.counts.Unloads++
		delete(e.orders.adapters, t)
	}
}

// updateReadyTargets sets the ready targets to the loaded models and, for each version of a model, its loaded adapters.
func (e *Engine) updateReadyTargets() {
	now := time.Now()
	ready := map[string]bool{}
	for model, at := range e.orders.models {
		if at.After(now) {
			continue
		}
		ready[model.String()] = true
		for adapter, at := range e.orders.adapters {
			if adapter.Model == model.Model && !at.After(now) {
				ready[gladeapi.Target{Model: model.Model, Adapter: adapter.Adapter, Version: model.Version}.String()] = true
			}
		}
	}
	for _, target := range slices.Sorted(maps.Keys(e.orders.readyTargets)) {
		if !ready[target] {
			e.SetReady(target, false)
		}
	}
	for target := range ready {
		if !e.orders.readyTargets[target] {
			e.SetReady(target, true)
		}
	}
	e.orders.readyTargets = ready
}

package gladefront

import (
	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladememory"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeserve"
)

// startMemory starts the count of the memory that requests occupy, and returns its limits.
func (f *Front) startMemory() gladememory.Limits {
	s := f.config.Settings
	limits := gladememory.Derive(s.Memory, s.Descriptors)
	f.memory = gladememory.New(gladememory.Config{Limits: limits, OnEvicted: f.onEvicted})
	f.log.Info("Limits of memory and connections.", "memory", s.Memory, "descriptors", s.Descriptors, "runtime", limits.Runtime,
		"large", limits.Large, "small", limits.Small, "connections", limits.Connections, "idleServerConnections", limits.IdleServerConnections)
	return limits
}

func (f *Front) onEvicted(e gladememory.Eviction) {
	f.log.Info("Request makes room for another.", "stage", e.Stage.String(), "bytes", e.Bytes, "need", e.Need,
		"stalledMs", e.Stalled.Milliseconds(), "used", e.Used, "limit", e.Limit)
}

// onClosedConnection records that a caller's connection was closed because there were too many.
func (f *Front) onClosedConnection(c gladeserve.ClosedConnection) {
	state := "waiting"
	switch {
	case c.Refused:
		state = "refused"
	case c.New:
		state = "new"
	case c.State.Idle && !c.Reset:
		state = "idle"
	}
	f.countCall("connections.closed." + state)
	f.log.Info("Too many connections; one is closed.", "state", state, "ageMs", c.Age.Milliseconds(), "open", c.Open, "limit", c.Limit,
		"unsent", c.Unsent, "unread", c.Unread)
}

// memoryGauges sets the gauges of memory and connections.
func (f *Front) memoryGauges(gauge func(name string, v int64)) {
	limits := gladememory.Derive(f.config.Settings.Memory, f.config.Settings.Descriptors)
	s := f.memory.Stats()
	gauge("memory.large", s.Large)
	gauge("memory.largeLimit", limits.Large)
	gauge("memory.small", s.Small)
	gauge("memory.smallLimit", limits.Small)
	gauge("memory.refused", s.Refused)
	for stage, bytes := range s.Stages {
		name := gladememory.Stage(stage).String()
		gauge("memory.large."+name, bytes)
		gauge("memory.evicted."+name, s.Evicted[stage])
	}
	gauge("connections.callers", int64(f.server.Connections()))
	gauge("connections.limit", int64(limits.Connections))
}

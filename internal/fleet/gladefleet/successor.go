package gladefleet

// Successor is a server that took over the address of another one of its service before the store listed it.
type Successor struct {
	// Predecessor is the identifier of the server that had the address before.
	Predecessor string `json:"predecessor"`
	Server      Server `json:"server"`
}

// AwaitsSuccessor reports whether a server that answers at the address of a failed one now must be of the same service.
//
// An address passes to another service only some time after its server has ended, and the failed server answered more
// recently than that.
func (t *Table) AwaitsSuccessor(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.awaitsSuccessor(t.servers[id])
}

func (t *Table) awaitsSuccessor(e *entry) bool {
	return e != nil && !e.replaced && !e.Leaving && !e.unlisted && t.config.BootTime().Sub(e.lastAnswer) < t.config.AddressReuse
}

// RecordInstance records that the server with the given identifier answered just now at the address of another one, which
// it replaces.  It returns the successor if that must be of the same service, and false otherwise.
func (t *Table) RecordInstance(id, instance string) (Successor, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[id]
	if e == nil || instance == "" || instance == id {
		return Successor{}, false
	}
	recognised := t.awaitsSuccessor(e) && t.servers[instance] == nil
	if !recognised {
		t.markReplaced(e)
		return Successor{}, false
	}
	s := Successor{Predecessor: id, Server: e.Server}
	s.Server.ID, s.Server.Cold = instance, 0
	s.Server.Started++ // its true start is later, so that the store's entry replaces this one
	t.put(s.Server)
	return s, true
}

// Adopt adds a successor that another VM recognised and reports whether it is new.  It does nothing if the predecessor is
// unknown, leaving, unlisted or already replaced.
func (t *Table) Adopt(s Successor) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.servers[s.Predecessor]
	if e == nil || e.replaced || e.Leaving || e.unlisted || e.Address != s.Server.Address || t.servers[s.Server.ID] != nil {
		return false
	}
	return t.put(s.Server)
}

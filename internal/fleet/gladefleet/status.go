package gladefleet

import (
	"cmp"
	"slices"
	"time"
)

// Status is the state of one server in the table.
type Status struct {
	Server
	// Listed reports whether the store lists the server, or this VM expects it to.
	Listed    bool      `json:"listed"`
	Runs      int       `json:"runs"`
	Load      float64   `json:"load"`
	Failures  int       `json:"failures"`
	RetryAt   time.Time `json:"outage"`
	ErrorRate float64   `json:"faults"`
	// Limited reports that the server names a limit, and ExhaustedUntil the time until which that leaves no room.
	Limited        bool      `json:"limited,omitempty"`
	ExhaustedUntil time.Time `json:"exhaustedUntil,omitzero"`
	// WorkPercent and ReportedAt are the average and the time of the server's last reports of how long work takes.
	WorkPercent float64   `json:"workPercent,omitempty"`
	ReportedAt  time.Time `json:"reportedAt,omitzero"`
	// AnswerMS is the average time of plain answers.
	AnswerMS float64 `json:"answerMs,omitempty"`
}

// Statuses returns the state of all servers, ordered by identifier.
func (t *Table) Statuses() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Status, 0, len(t.servers))
	for _, e := range t.servers {
		all = append(all, Status{
			Server: e.Server, Listed: !e.unlisted || e.listing != nil, Runs: e.runs, Load: e.load(), Failures: e.failures, RetryAt: e.retryAt,
			ErrorRate: e.errorRate, Limited: e.limited, ExhaustedUntil: e.exhaustedUntil,
			WorkPercent: 100 * e.reported.mean, ReportedAt: e.reported.at, AnswerMS: 1000 * e.reported.answerTime,
		})
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// List returns the servers as the list of the store has them, ordered by identifier.
func (t *Table) List() []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var servers []Server
	for _, e := range t.servers {
		if e.listing != nil {
			servers = append(servers, *e.listing)
		}
	}
	return sortByID(servers)
}

// Unlisted returns what this VM knows beyond the list, ordered by identifier: servers that said themselves that they leave, and
// successors that the list lacks.
func (t *Table) Unlisted() []Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var servers []Server
	for _, e := range t.servers {
		if e.listing != nil && e.Leaving && !e.listing.Leaving || e.listing == nil && !e.unlisted {
			servers = append(servers, e.Server)
		}
	}
	return sortByID(servers)
}

// AddUnlisted adds what another VM knows beyond the list.
func (t *Table) AddUnlisted(s Server, now time.Time) {
	if s.Leaving {
		t.MarkLeaving(s.ID, s.Started, now)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.servers[s.ID] == nil {
		t.put(s)
	}
}

func sortByID(servers []Server) []Server {
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}

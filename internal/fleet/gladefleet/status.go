package gladefleet

import (
	"cmp"
	"slices"
	"time"
)

// Status is the state of one server in the table.
type Status struct {
	Server
	// Listed reports whether the store lists the server.
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
			Server: e.Server, Listed: !e.unlisted, Runs: e.runs, Load: e.load(), Failures: e.failures, RetryAt: e.retryAt,
			ErrorRate: e.errorRate, Limited: e.limited, ExhaustedUntil: e.exhaustedUntil,
			WorkPercent: 100 * e.reported.mean, ReportedAt: e.reported.at, AnswerMS: 1000 * e.reported.answerTime,
		})
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

package gladeconfig

import "time"

// Notes configures the distribution of release notes.
type Notes struct {
	// Watchers is the number of VMs in each failure domain that watch the platform for release notes.
	Watchers int `toml:"watchers"`
	// Interval is the time between queries for the notes that other VMs hold.
	Interval Duration `toml:"interval"`
	// Settle is the time for which a new VM waits for notes from other VMs before it reports ready.
	Settle Duration `toml:"settle"`
	// SnapshotEvery is the number of notes between two snapshots.
	SnapshotEvery int64 `toml:"snapshotEvery"`
}

func defaultNotes() Notes {
	return Notes{
		Watchers:      2,
		Interval:      Duration(time.Second),
		Settle:        Duration(time.Second),
		SnapshotEvery: 64,
	}
}

func (n *Notes) check(report reporter) {
	if n.Watchers < 1 {
		report("notes.watchers", "must be at least 1")
	}
	report.positive("notes.interval", n.Interval)
	report.positive("notes.settle", n.Settle)
	if n.SnapshotEvery < 1 {
		report("notes.snapshotEvery", "must be at least 1")
	}
}

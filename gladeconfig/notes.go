package gladeconfig

import "time"

// Notes sets how release notes are spread.
type Notes struct {
	// Watchers is the number of VMs in each failure domain that watch the platform.
	Watchers int `toml:"watchers"`
	// Interval is the time between looks at what other VMs hold.
	Interval Duration `toml:"interval"`
	// Settle is how long a new VM waits to hear of other VMs' notes before it is ready.
	Settle Duration `toml:"settle"`
	// SnapshotEvery is the number of notes from one snapshot to the next.
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

func (n *Notes) check(complain complainer) {
	if n.Watchers < 1 {
		complain("notes.watchers", "must be at least 1")
	}
	complain.positive("notes.interval", n.Interval)
	complain.positive("notes.settle", n.Settle)
	if n.SnapshotEvery < 1 {
		complain("notes.snapshotEvery", "must be at least 1")
	}
}

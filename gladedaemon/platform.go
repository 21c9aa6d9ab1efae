package gladedaemon

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/gladecheck"
	"github.com/eelgrassglade/eelgrassglade/gladekernel"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladestore"
)

// KindNotes is the kind of object that holds accepted release notes.
const KindNotes = "notes"

func (d *Daemon) addStore() error {
	store, closeStore := gladestore.New(gladestore.Config{
		Address: d.settings.Platform.Address,
		Dial:    d.dial,
		Timeout: d.settings.Platform.Timeout.D(),

		FailureDomain: d.settings.VM.FailureDomain,
		Metrics:       d.metrics,
	})
	d.kernel.OnClose(closeStore)
	return d.kernel.Provide(ServiceStore, store)
}

// Notes holds the state in force on this VM.
type Notes struct {
	store *gladestore.Client
	check *gladecheck.Checker
	log   hclog.Logger
	state atomic.Pointer[gladenote.State]
}

// State returns the state in force.
func (n *Notes) State() *gladenote.State {
	return n.state.Load()
}

func (d *Daemon) addNotes() error {
	store, err := gladekernel.Lookup[*gladestore.Client](&d.kernel, ServiceStore)
	if err != nil {
		return err
	}
	n := &Notes{store: store, check: d.check, log: d.log.Named("notes")}
	n.state.Store(&gladenote.State{})
	d.loop(d.settings.Platform.VMInterval, n.refresh)
	d.kernel.OnDump("notes", func() any { return n.State().Number })
	return d.kernel.Provide(ServiceNotes, n)
}

func (n *Notes) refresh(ctx context.Context) {
	if err := n.read(ctx); err != nil {
		n.log.Warn("Notes not read.", "error", err)
	}
}

func (n *Notes) read(ctx context.Context) error {
	list, err := n.store.List(ctx, KindNotes, "")
	if err != nil {
		return err
	}
	notes := make([]gladenote.Note, len(list.Objects))
	for i, o := range list.Objects {
		if err := json.Unmarshal(o.Value, &notes[i]); err != nil {
			return eris.Wrap(err, o.Name)
		}
	}
	slices.SortFunc(notes, func(a, b gladenote.Note) int { return int(a.Number - b.Number) })
	for i := range notes {
		if err := n.apply(&notes[i]); err != nil {
			return err
		}
	}
	return nil
}

func (n *Notes) apply(note *gladenote.Note) error {
	old := n.State()
	if note.Number <= old.Number {
		return nil
	}
	next, err := old.Apply(note)
	if err != nil {
		return err
	}
	n.check.That(next.Number > old.Number, gladecheck.NoteNeverReverts, "%d after %d", next.Number, old.Number)
	n.state.Store(next)
	n.log.Info("Note in force.", "number", next.Number)
	return nil
}

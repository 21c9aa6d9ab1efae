package gladedaemon

import (
	"github.com/eelgrassglade/eelgrassglade/gladenote"
	"github.com/eelgrassglade/eelgrassglade/gladestore"
)

// KindNotes is the object kind of accepted release notes.
const KindNotes = gladenote.KindNotes

func (d *Daemon) addStore() error {
	store, closeStore := gladestore.New(gladestore.Config{
		Address:       d.settings.Platform.Address,
		Dial:          d.dial,
		Timeout:       d.settings.Platform.Timeout.D(),
		FailureDomain: d.settings.VM.FailureDomain,
		Metrics:       d.metrics,
	})
	d.kernel.OnClose(closeStore)
	d.kernel.OnDump("platform", func() any { return platformDump{Available: store.Available()} })
	return d.kernel.Provide(ServiceStore, store)
}

// platformDump is the section of the state dump about the platform.
type platformDump struct {
	Available bool `json:"available"`
}

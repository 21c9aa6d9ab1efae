package gladedaemon

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
)

func (d *Daemon) addPeers() error {
	node, closeNode, err := gladepeer.New(gladepeer.Config{
		Self: gladeapi.EntryVM{
			Name:          d.settings.VM.Name,
			FailureDomain: d.settings.VM.FailureDomain,
			PeerAddress:   d.settings.Peers.Listen,
			Incarnation:   newIncarnation(),
		},
		Seeds:     d.settings.Peers.Seeds,
		Interval:  d.settings.Peers.Interval.D(),
		Suspicion: d.settings.Peers.Suspicion.D(),
		Dial:      d.dial,
		Listen:    d.listen,
		Log:       d.log.Named("peer"),
		Check:     d.check,
		Metrics:   d.metrics,
	})
	if err != nil {
		return err
	}
	d.kernel.OnClose(closeNode)
	d.kernel.OnDump("peers", func() any { return node.Members() })
	d.drains = append(d.drains, func(context.Context) { node.SetLeaving() })
	return d.kernel.Provide(ServicePeers, node)
}

// newIncarnation returns an identifier that sorts after those of earlier starts, as far as wall clocks go.
func newIncarnation() string {
	return fmt.Sprintf("%013x-%s", time.Now().UnixMilli(), rand.Text()[:8])
}

package gladedaemon

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladetls"
)

func (d *Daemon) addPeers() error {
	dial, listen, err := d.peerNetwork()
	if err != nil {
		return err
	}
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
		Dial:      dial,
		Listen:    listen,
		Log:       d.log.Named("peer"),
		Check:     d.check,
		Metrics:   d.metrics,
	})
	if err != nil {
		return err
	}
	d.kernel.OnClose(closeNode)
	d.kernel.OnDump("peers", func() any { return node.Members() })
	d.drainSteps = append(d.drainSteps, func(context.Context) { node.SetLeaving() })
	return d.kernel.Provide(ServicePeers, node)
}

// peerNetwork returns the dial and listen functions between VMs, with mutual TLS if the settings name a certificate.
func (d *Daemon) peerNetwork() (gladeapi.Dial, gladeapi.Listen, error) {
	p := &d.settings.Peers
	if !p.TLS.Enabled() {
		return d.dial, d.listen, nil
	}
	keys, closeKeys, err := gladetls.New(gladetls.Config{
		Cert: p.TLS.Cert, Key: p.TLS.Key, CA: p.TLS.CA, ServerName: p.TLS.ServerName,
		Interval: p.TLS.Reload.D(), Log: d.log.Named("peer"),
	})
	if err != nil {
		return nil, nil, err
	}
	d.kernel.OnClose(closeKeys)
	return keys.Dial(d.dial), keys.Listen(d.listen), nil
}

// newIncarnation returns an identifier that sorts after those of earlier starts, provided that the wall clock has not
// gone back.
func newIncarnation() string {
	return fmt.Sprintf("%013x-%s", time.Now().UnixMilli(), rand.Text()[:8])
}

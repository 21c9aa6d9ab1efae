package gladeroster_test

import (
	"context"
	"fmt"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladeroster"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

func Example() {
	h := (&gladewire.Network{}).Host("vm-a")
	peers, closePeers, err := gladepeer.New(gladepeer.Config{
		Self:   gladeapi.EntryVM{Name: "vm-a", FailureDomain: "shubra", PeerAddress: "vm-a:1"},
		Dial:   h.Dial,
		Listen: h.Listen,
	})
	if err != nil {
		panic(err)
	}
	defer closePeers()
	platform := gladeapi.VMList{Version: 4, Backends: []gladeapi.BackendServer{{ID: "engine-1", Incarnation: "1", Leaving: true}}}
	roster := gladeroster.New(gladeroster.Config{
		Peers: peers,
		Read:  func(context.Context) (gladeapi.VMList, error) { return platform, nil },
	})
	for _, stale := range []gladeapi.VMList{
		platform,
		{Version: 3, Backends: []gladeapi.BackendServer{{ID: "engine-1", Incarnation: "1"}}},
		{Version: 5},
	} {
		platform = stale
		list, err := roster.VMs(context.Background())
		fmt.Println(list.Version, list.Backends[0].ID, list.Backends[0].Leaving, err)
	}
	// Output:
	// 4 engine-1 true <nil>
	// 4 engine-1 true <nil>
	// 5 engine-1 true <nil>
}

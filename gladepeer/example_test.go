package gladepeer_test

import (
	"context"
	"fmt"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

func Example() {
	network := &gladewire.Network{}
	start := func(name string, seeds ...string) (*gladepeer.Node, func()) {
		h := network.Host(name)
		n, closeNode, err := gladepeer.New(gladepeer.Config{
			Self:     gladeapi.EntryVM{Name: name, FailureDomain: "shubra", PeerAddress: name + ":1", Incarnation: "1"},
			Seeds:    seeds,
			Interval: 5 * time.Millisecond,
			Dial:     h.Dial,
			Listen:   h.Listen,
		})
		if err != nil {
			panic(err)
		}
		return n, closeNode
	}
	a, closeA := start("vm-a")
	defer closeA()
	b, closeB := start("vm-b", "vm-a:1")
	defer closeB()
	gladepeer.Handle(b, "double", func(_ context.Context, from string, n int) (int, error) {
		fmt.Println("asked by", from)
		return 2 * n, nil
	})
	for len(a.Members()) == 0 {
		time.Sleep(time.Millisecond)
	}
	answer, err := gladepeer.Call[int, int](context.Background(), a, "vm-b", "double", 21)
	fmt.Println(answer, err)
	// Output:
	// asked by vm-a
	// 42 <nil>
}

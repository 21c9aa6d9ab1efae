package gladestandby_test

import (
	"context"
	"fmt"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladepeer"
	"github.com/eelgrassglade/eelgrassglade/gladestandby"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
	"github.com/eelgrassglade/eelgrassglade/gladewire"
)

type exampleVM struct {
	peers   *gladepeer.Node
	standby *gladestandby.Service
	close   func()
}

func startVM(network *gladewire.Network, name string) *exampleVM {
	h := network.Host(name)
	peers, closePeers, err := gladepeer.New(gladepeer.Config{
		Self:     gladeapi.EntryVM{Name: name, FailureDomain: "shubra", PeerAddress: name + ":1", Incarnation: "1"},
		Seeds:    []string{"vm-a:1", "vm-b:1"},
		Interval: 5 * time.Millisecond,
		Dial:     h.Dial,
		Listen:   h.Listen,
	})
	if err != nil {
		panic(err)
	}
	standby, closeStandby, err := gladestandby.New(gladestandby.Config{
		Peers:         peers,
		BatchInterval: time.Millisecond,
		Continue: func(j *gladestream.Journal, p gladestream.Placement) *gladestream.Run {
			fmt.Printf("%s continues after %d tokens of attempt %d\n", name, j.Len(), p.Attempt.Number)
			j.Finish(gladeapi.FinishStop)
			return &gladestream.Run{Journal: j, Stop: func() {}}
		},
	})
	if err != nil {
		panic(err)
	}
	return &exampleVM{peers: peers, standby: standby, close: func() {
		closeStandby()
		closePeers()
	}}
}

func Example() {
	network := &gladewire.Network{}
	a, b := startVM(network, "vm-a"), startVM(network, "vm-b")
	defer b.close()
	for len(a.peers.Members()) == 0 || len(b.peers.Members()) == 0 {
		time.Sleep(time.Millisecond)
	}
	g := &gladeapi.Generation{
		ID: "request-1", Organisation: "nile-fixer", Key: "manifest-7", Deadline: time.Now().Add(time.Minute),
	}
	// vm-a runs the generation. Its caller receives a token once vm-b holds it.
	run := &gladestream.Run{Journal: gladestream.NewJournal(g), Stop: func() {}}
	attempt := gladeapi.Attempt{Request: g.ID, Number: 1, Nonce: "x"}
	run.Journal.Begin(attempt, gladeapi.BackendServer{ID: "engine-1"})
	a.standby.OnStart(run)
	if err := run.Journal.Append(attempt, gladestream.Event{Tokens: []gladestream.EventToken{{ID: 7, Text: "silver"}}}); err != nil {
		panic(err)
	}
	tokens, _, _ := run.Journal.Read(context.Background(), 0)
	position := &gladeapi.Position{Index: 0, Prefix: tokens[0].Prefix}
	a.close()
	network.Terminate("vm-a")
	// After vm-a is lost, the caller retries at vm-b with its key and position.
	again := *g
	again.ID = "request-2"
	recovered, err := b.standby.Recover(context.Background(), &again, position)
	if err != nil {
		panic(err)
	}
	fmt.Println(recovered.Journal.Generation.ID, recovered.Journal.Len())
	// Output:
	// vm-b continues after 1 tokens of attempt 1
	// request-1 1
}

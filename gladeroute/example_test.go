package gladeroute_test

import (
	"fmt"
	"strings"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladeroute"
)

func ExampleTable() {
	t := &gladeroute.Table{FailureDomain: "lk-west-a"}
	t.SetServers([]gladeapi.BackendServer{
		{ID: "w1", Pool: "drafting-llm", FailureDomain: "lk-west-a"},
		{ID: "w2", Pool: "drafting-llm", FailureDomain: "lk-west-a", Leaving: true},
		{ID: "w3", Pool: "drafting-llm", FailureDomain: "lk-west-b"},
	})
	thread := strings.Repeat("Dear planner, about the red carpet. ", 40)
	choice, err := t.Choose("drafting-llm", gladeapi.Requirements{Blocks: gladeroute.HashBlocks("drafting@1", thread)})
	fmt.Println(choice.Backend.ID, choice.Reason, err)
	choice.Release(gladeapi.OutcomeFailed)
	choice, err = t.Choose("drafting-llm", gladeapi.Requirements{Blocks: gladeroute.HashBlocks("drafting@1", thread)})
	fmt.Println(choice.Backend.ID, err)
	// Output:
	// w1 holds the prefix <nil>
	// w3 <nil>
}

package gladestream_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladestream"
)

// The first engine disconnects after two tokens; the second continues from there.
func ExampleRunner() {
	words := []string{"silver", " was", " recovered"}
	open := func(_ context.Context, o gladestream.OpenRequest) (*gladestream.Source, error) {
		n := len(o.Delivered)
		next := func() (gladestream.Event, error) {
			if n == 2 && o.Attempt.Number == 1 {
				return gladestream.Event{}, errors.New("connection reset")
			}
			e := gladestream.Event{First: n - len(o.Delivered), Tokens: []gladestream.EventToken{{ID: int32(n), Text: words[n]}}}
			if n++; n == len(words) {
				e.Finish = gladeapi.FinishStop
			}
			return e, nil
		}
		return &gladestream.Source{Next: next, Close: func() {}}, nil
	}
	runner := gladestream.NewRunner(gladestream.Config{
		Choose: func(context.Context, gladeapi.Requirements) (gladeapi.Choice, error) {
			return gladeapi.Choice{Release: func(gladeapi.Outcome) {}}, nil
		},
		Open: open,
	})
	run := runner.Start(&gladeapi.Generation{ID: "r", Deadline: time.Now().Add(time.Minute)})
	<-run.Done
	tokens, end, _ := run.Journal.Read(context.Background(), 0)
	for _, t := range tokens {
		fmt.Print(t.Text)
	}
	fmt.Println(":", end.Finish, "after", run.Journal.Placement().Attempt.Number, "attempts")
	// Output: silver was recovered: stop after 2 attempts
}

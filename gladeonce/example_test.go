package gladeonce_test

import (
	"context"
	"fmt"

	"github.com/eelgrassglade/eelgrassglade/gladeonce"
)

func ExampleIssuer() {
	i := gladeonce.NewIssuer(gladeonce.IssuerConfig{VM: "vm-1", Incarnation: "1"})
	call := gladeonce.Call{
		Organisation: "nile-fixer",
		Route:        "credits",
		Key:          i.Issue("nile-fixer", "credits"),
		Body:         gladeonce.HashBody("POST", "/post", []byte("12 pounds")),
	}
	credits := 0
	for range 3 {
		o, err := i.Do(context.Background(), call, func(context.Context) (*gladeonce.Outcome, error) {
			credits += 12
			return &gladeonce.Outcome{Status: 200, Body: []byte("posted")}, nil
		})
		fmt.Println(string(o.Body), err, credits)
	}
	// Output:
	// posted <nil> 12
	// posted <nil> 12
	// posted <nil> 12
}

package gladelimit_test

import (
	"context"
	"fmt"

	"github.com/eelgrassglade/eelgrassglade/gladelimit"
)

func ExampleLimiter() {
	l := gladelimit.NewLimiter(gladelimit.Config{})
	for range 3 {
		release, err := l.Admit(context.Background(), "rathu-paara", gladelimit.Limits{Concurrent: 2})
		fmt.Println(release != nil, err)
	}
	// Output:
	// true <nil>
	// true <nil>
	// false rateLimited: 2 requests run already
}

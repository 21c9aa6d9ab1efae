package gladestore_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"

	"github.com/eelgrassglade/eelgrassglade/gladestandin"
	"github.com/eelgrassglade/eelgrassglade/gladestore"
)

func ExampleClient_CreateOnce() {
	platform := &gladestandin.Platform{}
	server := httptest.NewServer(platform)
	defer server.Close()
	client, closeClient := gladestore.New(gladestore.Config{Address: server.URL})
	defer closeClient()

	platform.SetFaults(gladestandin.PlatformFaults{LoseAnswers: 1})
	claim, mine := value("first caller")
	_, err := client.CreateOnce(context.Background(), "claims", "posting-17", claim, mine)
	fmt.Println("first caller:", err)

	claim, mine = value("second caller")
	_, err = client.CreateOnce(context.Background(), "claims", "posting-17", claim, mine)
	fmt.Println("second caller has a conflict:", errors.Is(err, gladestore.ErrConflict))
	// Output:
	// first caller: <nil>
	// second caller has a conflict: true
}

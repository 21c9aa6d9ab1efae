package gladeorder_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladeorder"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
)

func ExampleClient_Send() {
	engine := gladestandin.NewEngine(gladestandin.EngineConfig{ID: "engine-1"})
	defer engine.Close()
	engine.SetOrders(gladestandin.OrderConfig{ChecksFencing: true})
	server := httptest.NewServer(engine)
	defer server.Close()
	client, closeClient := gladeorder.NewClient(nil)
	defer closeClient()

	backend := gladeapi.BackendServer{ID: "engine-1", Address: strings.TrimPrefix(server.URL, "http://")}
	order := gladeorder.Order{Kind: gladeorder.LoadModel, Model: "glade-llm", Version: "2"}
	fmt.Println("new holder:", client.Send(context.Background(), backend, order, 8))
	err := client.Send(context.Background(), backend, order, 7)
	fmt.Println("old holder is fenced:", errors.Is(err, gladeorder.ErrFenced))
	// Output:
	// new holder: <nil>
	// old holder is fenced: true
}

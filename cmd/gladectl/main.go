package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	app := &cli.Command{
		Name:  "gladectl",
		Usage: "read and drive eelgrassglade",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "vm", Usage: "operators' `ADDRESS` of any entry VM", Value: "127.0.0.1:8081"},
		},
		Commands: []*cli.Command{
			{Name: "explain", Usage: "print what happened to a request and why", ArgsUsage: "REQUEST", Action: explain},
			noteCommand(),
			{Name: "dump", Usage: "print the state of a VM", Action: dump},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "gladectl:", err)
		os.Exit(1)
	}
}

func explain(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return cli.Exit("explain wants one request id", 2)
	}
	return get(ctx, c, "/explain/"+url.PathEscape(c.Args().First()))
}

func dump(ctx context.Context, c *cli.Command) error {
	return get(ctx, c, "/dump")
}

func get(ctx context.Context, c *cli.Command, path string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.String("vm")+path, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return fmt.Errorf("%s: %s", response.Status, text)
	}
	_, err = io.Copy(os.Stdout, response.Body)
	return err
}

package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	app := &cli.Command{
		Name:     "gladebench",
		Usage:    "demonstrate, load and measure eelgrassglade",
		Commands: []*cli.Command{demoCommand(), standinCommand(), experimentCommand(), replayCommand(), loadCommand()},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "gladebench:", err)
		os.Exit(1)
	}
}

package main

import "github.com/urfave/cli/v3"

// experimentCommand is the parent of the experiments; each part adds one line to its list.
func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "measure one part and print its table",
		Commands: []*cli.Command{
			resumeCommand(),
			routingCommand(),
			stormCommand(),
			onceCommand(),
			entryCostCommand(),
			membershipCommand(),
			takeoverCommand(),
			capacityCommand(),
			notesCommand(),
			randomCommand(),
		},
	}
}

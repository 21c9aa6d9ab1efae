package main

import "github.com/urfave/cli/v3"

// experimentCommand returns the parent command of all experiments.
func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:  "experiment",
		Usage: "measure one component and print the results",
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

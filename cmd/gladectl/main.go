package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/eelgrassglade/eelgrassglade/gladetls"
)

func main() {
	if err := newCommand().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "gladectl:", err)
		os.Exit(1)
	}
}

// newCommand returns the command with its subcommands.
func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "gladectl",
		Usage: "inspect and control eelgrassglade",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagVM, Usage: "operators' `ADDRESS` of any entry VM", Value: "127.0.0.1:8081"},
			&cli.StringFlag{Name: flagCA, Usage: "use TLS and trust the certificate authorities in `FILE`"},
			&cli.StringFlag{Name: flagCert, Usage: "client certificate in `FILE`"},
			&cli.StringFlag{Name: flagKey, Usage: "private key of the client certificate in `FILE`"},
			&cli.StringFlag{Name: flagServerName, Usage: "`NAME` expected in the VM's certificate", Value: gladetls.DefaultServerName},
			&cli.StringFlag{Name: flagToken, Usage: "bearer `TOKEN` to send", Sources: cli.EnvVars("GLADE_TOKEN")},
		},
		Commands: []*cli.Command{
			{
				Name: "explain", Usage: "print what happened to a request and why", ArgsUsage: "REQUEST", Action: explain,
				Flags: []cli.Flag{&cli.StringSliceFlag{
					Name: flagLog, Usage: "read the decision logs in `FILE`, or standard input for -, instead of asking a VM",
				}},
			},
			noteCommand(),
			{Name: "dump", Usage: "print the state of a VM", Action: dump},
			{Name: "rollouts", Usage: "print the roll-outs of server versions as a VM knows them", Action: rollouts},
			whereCommand(),
		},
	}
}

func explain(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return cli.Exit("explain requires exactly one request ID", 2)
	}
	if files := c.StringSlice(flagLog); len(files) > 0 {
		return explainLogs(files, c.Args().First())
	}
	return printResponse(ctx, c, "/explain/"+url.PathEscape(c.Args().First()))
}

func dump(ctx context.Context, c *cli.Command) error {
	return printResponse(ctx, c, "/dump")
}

func printResponse(ctx context.Context, c *cli.Command, path string) error {
	response, err := call(ctx, c, http.MethodGet, path, "", nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return fmt.Errorf("GET %s: %s: %s", path, response.Status, text)
	}
	_, err = io.Copy(os.Stdout, response.Body)
	return err
}

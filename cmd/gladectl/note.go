package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/eelgrassglade/eelgrassglade/gladedaemon"
	"github.com/eelgrassglade/eelgrassglade/gladenote"
)

const (
	statusPollInterval = 100 * time.Millisecond
	exitUsage          = 2
	exitRefused        = 3
	exitNotInForce     = 4
)

func noteCommand() *cli.Command {
	return &cli.Command{
		Name:  "note",
		Usage: "submit release notes and print their status",
		Commands: []*cli.Command{
			{Name: "submit", Usage: "submit a release note in TOML or JSON", ArgsUsage: "FILE", Action: submitNote},
			{
				Name:      "status",
				Usage:     "print whether a note is in force in each failure domain",
				ArgsUsage: "[NUMBER]",
				Flags:     []cli.Flag{&cli.DurationFlag{Name: "wait", Usage: "wait up to `DURATION` until the note is in force"}},
				Action:    noteStatus,
			},
			{Name: "list", Usage: "print the most recently accepted notes", Action: listNotes},
		},
	}
}

func submitNote(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return cli.Exit("submit requires exactly one file", exitUsage)
	}
	path := c.Args().First()
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	contentType := "application/toml"
	if strings.HasSuffix(path, ".json") {
		contentType = "application/json"
	}
	var answer gladedaemon.NoteAnswer
	if err := exchangeJSON(ctx, c, http.MethodPost, "/notes", contentType, data, &answer); err != nil {
		return err
	}
	if answer.Accepted == nil {
		return cli.Exit("not accepted:\n  "+strings.Join(answer.Errors, "\n  "), exitRefused)
	}
	fmt.Printf("note %d %q accepted\n", answer.Accepted.Number, answer.Accepted.Title)
	return nil
}

func noteStatus(ctx context.Context, c *cli.Command) error {
	path := "/notes/status"
	if number := c.Args().First(); number != "" {
		path += "?number=" + url.QueryEscape(number)
	}
	deadline := time.Now().Add(c.Duration("wait"))
	for {
		var s gladenote.Status
		if err := exchangeJSON(ctx, c, http.MethodGet, path, "", nil, &s); err != nil {
			return err
		}
		if s.InForce || time.Now().After(deadline) {
			return printStatus(&s)
		}
		time.Sleep(statusPollInterval)
	}
}

func printStatus(s *gladenote.Status) error {
	fmt.Printf("note %d in force: %t (newest %d)\n", s.Number, s.InForce, s.Newest)
	for i := range s.Domains {
		d := &s.Domains[i]
		fmt.Printf("  %s: %t, %d of %d VMs", d.FailureDomain, d.InForce, d.Applied, d.VMs)
		if e := d.Engines; e != nil {
			fmt.Printf(", %d of %d targets ready on engines", e.Ready, e.Wanted)
		}
		fmt.Println()
		for _, reason := range d.Reasons {
			fmt.Println("    " + reason)
		}
		if d.AgeMillis > 0 {
			fmt.Printf("    last heard %s ago\n", time.Duration(d.AgeMillis)*time.Millisecond)
		}
		if len(d.Lagging) > 0 {
			fmt.Println("    not applied on: " + strings.Join(d.Lagging, ", "))
		}
		if d.Engines != nil {
			for _, missing := range d.Engines.Missing {
				fmt.Println("    not ready: " + missing)
			}
		}
	}
	if !s.InForce {
		return cli.Exit("", exitNotInForce)
	}
	return nil
}

func listNotes(ctx context.Context, c *cli.Command) error {
	var notes []gladenote.Summary
	if err := exchangeJSON(ctx, c, http.MethodGet, "/notes", "", nil, &notes); err != nil {
		return err
	}
	for _, n := range notes {
		fmt.Printf("%d\t%s\t%s\t%s\n", n.Number, n.Accepted.Format(time.RFC3339), n.Author, n.Title)
	}
	return nil
}

// exchangeJSON sends a request to the operators' listener and decodes the answer into v. The
// refusal of a note is JSON as well.
func exchangeJSON(ctx context.Context, c *cli.Command, method, path, contentType string, body []byte, v any) error {
	response, err := call(ctx, c, method, path, contentType, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/json") {
		return json.NewDecoder(response.Body).Decode(v)
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
	return fmt.Errorf("%s %s: %s: %s", method, path, response.Status, text)
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladeforward"
)

// The flags of where. The access key has another name than the private key of the client certificate.
const (
	flagHost      = "host"
	flagPath      = "path"
	flagAccessKey = "accessKey"
	flagPrompt    = "prompt"
	flagOutput    = "output"
	flagPrefix    = "prefix"
	flagID        = "id"
	flagRepeat    = "repeat"
)

func whereCommand() *cli.Command {
	return &cli.Command{
		Name: "where", Usage: "print where a request would go now and why, without sending it", Action: where,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagHost, Usage: "`HOST` that the request names", Required: true},
			&cli.StringFlag{Name: flagPath, Usage: "`PATH` of the request", Required: true},
			&cli.StringFlag{Name: flagAccessKey, Usage: "access `KEY` of the caller", Sources: cli.EnvVars("GLADE_ACCESS_KEY")},
			&cli.IntFlag{Name: flagPrompt, Usage: "`NUMBER` of tokens in the prompt"},
			&cli.IntFlag{Name: flagOutput, Usage: "largest `NUMBER` of tokens in the answer"},
			&cli.StringFlag{Name: flagPrefix, Usage: "`PARTS` of the prompt as ID:TOKENS,..."},
			&cli.StringFlag{Name: flagID, Usage: "`ID` of the request, which chooses the service of a split route"},
			&cli.BoolFlag{Name: flagRepeat, Usage: "the request is a repeat"},
		},
	}
}

// where asks a VM where a request would go.
func where(ctx context.Context, c *cli.Command) error {
	query := url.Values{
		flagHost: {c.String(flagHost)}, flagPath: {c.String(flagPath)}, "key": {c.String(flagAccessKey)}, flagPrefix: {c.String(flagPrefix)},
		flagPrompt: {strconv.Itoa(c.Int(flagPrompt))}, flagOutput: {strconv.Itoa(c.Int(flagOutput))}, flagID: {c.String(flagID)},
		flagRepeat: {strconv.FormatBool(c.Bool(flagRepeat))},
	}
	response, err := call(ctx, c, http.MethodGet, "/where?"+query.Encode(), "", nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(text)))
	}
	var w gladeforward.Where
	if err := json.NewDecoder(response.Body).Decode(&w); err != nil {
		return fmt.Errorf("GET /where: %w", err)
	}
	return printWhere(c.Root().Writer, &w)
}

// printWhere prints an explanation as a table.
func printWhere(out io.Writer, w *gladeforward.Where) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", w.Decision, w.Reason)
	if w.RetryAfterMS > 0 {
		fmt.Fprintf(&b, ", Retry-After about %d ms", w.RetryAfterMS)
	}
	fmt.Fprintf(&b, "\nrelease %d, route %s (%s), service %s, organisation %q, priority %d, target %d ms\n",
		w.Release, w.Route, w.Kind, w.Service, w.Organisation, w.Priority, w.TargetMS)
	for _, s := range w.Shares {
		fmt.Fprintf(&b, "split: service %s, weight %d\n", s.Service, s.Weight)
	}
	if w.Stopping {
		b.WriteString("this VM is stopping and refuses what it cannot finish\n")
	}
	if v := w.Versions; v != nil {
		fmt.Fprintf(&b, "versions: only %q, except %q, fallback %t, concentrated on %g\n", v.Only, v.Except, v.Fallback, v.Concentrate)
	}
	if q := w.Queue; q != nil {
		fmt.Fprintf(&b, "queue: %d waiting, %d ahead, longest wait %d ms, refused at once instead of waiting: %t\n", q.Waiting, q.Ahead, q.MaxWaitMS, q.Exceeded)
	}
	fmt.Fprintf(&b, "retries left: %.1f\n", w.RetriesLeft)
	for i := range w.Limits {
		l := &w.Limits[i]
		fmt.Fprintf(&b, "limit of %s: %g per second, heard %d ms ago, coordinator %q\n", l.Server.ID, l.PerSecond, l.ReceivedMs, l.Coordinator)
	}
	printServers(&b, w.Servers)
	if w.MoreServers > 0 {
		fmt.Fprintf(&b, "and %d more servers\n", w.MoreServers)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

// printServers prints the servers in the order in which they would be chosen.
func printServers(out io.Writer, servers []gladeforward.ServerView) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "SERVER\tDOMAIN\tVERSION\tHEALTH\tLEFT OUT\tRUNS\tPEERS\tSLOTS\tUNREAD\tMEMORY\tSTATED\tAGE MS\tHELD\tCOST")
	for i := range servers {
		s := &servers[i]
		stated, age, held := "-", "-", "-"
		if r := s.Stated; r != nil {
			stated, age = fmt.Sprintf("%d+%d/%d", r.Running, r.Waiting, r.Slots), strconv.FormatInt(r.AgeMS, 10)
			if r.WorkPercent > 0 {
				stated += fmt.Sprintf(" %.0f%%", r.WorkPercent)
			}
		}
		if h := s.Held; h != nil {
			held = fmt.Sprintf("%d x %.2f", h.Tokens, h.Probability)
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%.4g\n", s.ID, s.FailureDomain, orDash(s.Version), orDash(s.Health),
			orDash(s.Excluded), s.Runs, s.PeerRuns, s.Slots, s.PendingPrefill, s.UsedMemory, stated, age, held, s.Cost)
	}
	_ = t.Flush()
}

// orDash returns a dash for an empty cell.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

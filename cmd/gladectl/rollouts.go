package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/eelgrassglade/eelgrassglade/internal/fleet/gladerollout"
	"github.com/eelgrassglade/eelgrassglade/internal/state/gladedecider"
)

// rolloutsDump is the part of a VM's dump that rollouts prints.
type rolloutsDump struct {
	VM       string `json:"vm"`
	Rollouts []struct {
		Service        string                           `json:"service"`
		Target         string                           `json:"target"`
		LimitSeconds   float64                          `json:"limitSeconds"`
		ElapsedSeconds float64                          `json:"elapsedSeconds"`
		Status         gladerollout.Status              `json:"status"`
		Current        bool                             `json:"current"`
		Order          *gladedecider.Status             `json:"order"`
		Seen           map[string]gladedecider.Requests `json:"seen"`
	} `json:"rollouts"`
}

// rollouts prints the roll-outs of server versions as the VM knows them.
func rollouts(ctx context.Context, c *cli.Command) error {
	response, err := call(ctx, c, http.MethodGet, "/dump", "", nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return fmt.Errorf("GET /dump: %s: %s", response.Status, text)
	}
	var d rolloutsDump
	if err := json.NewDecoder(response.Body).Decode(&d); err != nil {
		return fmt.Errorf("GET /dump: %w", err)
	}
	return printRollouts(os.Stdout, d)
}

// printRollouts prints the roll-outs in a dump.
func printRollouts(w io.Writer, d rolloutsDump) error {
	var b strings.Builder
	if len(d.Rollouts) == 0 {
		fmt.Fprintf(&b, "%s knows no roll-outs\n", d.VM)
	}
	for _, r := range d.Rollouts {
		state := string(r.Status.State)
		if state == "" {
			state = "not claimed"
		}
		fmt.Fprintf(&b, "%s to %s: %s, share %.3g", r.Service, r.Target, state, r.Status.Share)
		for _, route := range slices.Sorted(maps.Keys(r.Status.RouteShares)) {
			fmt.Fprintf(&b, ", route %s %.3g", route, r.Status.RouteShares[route])
		}
		fmt.Fprintf(&b, "; decider %s, term %d", r.Status.Decider, r.Status.Term)
		if r.ElapsedSeconds > 0 {
			fmt.Fprintf(&b, "; %.1f s of %.3g s", r.ElapsedSeconds, r.LimitSeconds)
		}
		if !r.Current {
			b.WriteString("; not confirmed lately")
		}
		b.WriteByte('\n')
		switch {
		case r.Order != nil && r.Order.Deciding:
			fmt.Fprintf(&b, "  last step: %s\n  servers: %d of the target, %d others; runs on others: %d, without copy %d\n", r.Order.Reason,
				r.Order.TargetServers, r.Order.OldServers, r.Order.OldRuns, r.Order.OldRunsWithoutCopy)
			printRequests(&b, fmt.Sprintf("reports of %d VMs", r.Order.Reports), r.Order.Requests)
		case r.Order != nil && r.Order.Reason != "":
			fmt.Fprintf(&b, "  last step: %s\n", r.Order.Reason)
			fallthrough
		default:
			printRequests(&b, d.VM+" alone, the decider knows the rest", r.Seen)
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// printRequests prints the requests of the last seconds by version.
func printRequests(w io.Writer, source string, requests map[string]gladedecider.Requests) {
	for _, version := range slices.Sorted(maps.Keys(requests)) {
		n := requests[version]
		_, _ = fmt.Fprintf(w, "  %s: %d requests, %d failed (%s)\n", version, n.Begun, n.Failed, source)
	}
}

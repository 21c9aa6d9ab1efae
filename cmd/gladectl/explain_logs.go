package main

import (
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/internal/observe/gladelog"
)

// errNoEntries means that no line of the logs contains the request ID.
var errNoEntries = eris.New("no decision log entry for the request")

// explainLogs prints the entries for one request from the decision logs of VMs. The file name - means standard input.
func explainLogs(files []string, request string) error {
	var logs []io.Reader
	for _, name := range files {
		if name == "-" {
			logs = append(logs, os.Stdin)
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			return eris.Wrap(err, "open decision log")
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	lines, err := gladelog.RequestLines(io.MultiReader(logs...), request)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return eris.Wrap(errNoEntries, request)
	}
	for _, line := range lines {
		fmt.Println(line)
	}
	return nil
}

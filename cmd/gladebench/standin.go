package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassglade/eelgrassglade/gladeapi"
	"github.com/eelgrassglade/eelgrassglade/gladestandin"
)

const headerTimeout = 5 * time.Second

func standinCommand() *cli.Command {
	listen := &cli.StringFlag{Name: "listen", Usage: "serve on `ADDRESS`", Value: "127.0.0.1:0"}
	return &cli.Command{
		Name:  "stand-in",
		Usage: "serve a stand-in on loopback",
		Commands: []*cli.Command{
			{
				Name:  "engine",
				Usage: "a model engine",
				Flags: []cli.Flag{
					listen,
					&cli.StringFlag{Name: "id", Value: "engine-1"},
					&cli.DurationFlag{Name: "token-time", Value: 10 * time.Millisecond},
				},
				Action: runEngine,
			},
			{
				Name:  "service",
				Usage: "a plain service that echoes the request body",
				Flags: []cli.Flag{
					listen,
					&cli.StringFlag{Name: "id", Value: "service-1"},
					&cli.DurationFlag{Name: "run-time", Value: 5 * time.Millisecond},
				},
				Action: runService,
			},
			{
				Name:  "platform",
				Usage: "the platform's object API",
				Flags: []cli.Flag{
					listen,
					&cli.StringFlag{Name: "vms", Usage: "JSON `FILE` with the list of VMs and backend servers"},
				},
				Action: runPlatform,
			},
		},
	}
}

func runEngine(_ context.Context, c *cli.Command) error {
	engine := gladestandin.NewEngine(gladestandin.EngineConfig{ID: c.String("id"), TokenTime: c.Duration("token-time")})
	return listenAndServe(c, engine)
}

func runService(_ context.Context, c *cli.Command) error {
	s := gladestandin.NewService(gladestandin.ServiceConfig{ID: c.String("id"), RunTime: c.Duration("run-time")})
	return listenAndServe(c, s)
}

func runPlatform(_ context.Context, c *cli.Command) error {
	p := &gladestandin.Platform{}
	if path := c.String("vms"); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var list gladeapi.VMList
		if err := json.Unmarshal(data, &list); err != nil {
			return eris.Wrap(err, path)
		}
		p.SetVMs(list)
	}
	return listenAndServe(c, p)
}

func listenAndServe(c *cli.Command, h http.Handler) error {
	fmt.Fprintln(os.Stderr, "serving on", c.String("listen"))
	s := &http.Server{Addr: c.String("listen"), Handler: h, ReadHeaderTimeout: headerTimeout}
	return s.ListenAndServe()
}

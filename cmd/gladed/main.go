package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassglade/eelgrassglade/gladeconfig"
	"github.com/eelgrassglade/eelgrassglade/gladedaemon"
	gladeplatform "github.com/eelgrassglade/eelgrassglade/platform"
)

func main() {
	config := &cli.StringFlag{Name: "config", Usage: "read settings from `FILE`; without it the platform's settings are used"}
	app := &cli.Command{
		Name:  "gladed",
		Usage: "serve generations and calls on an entry VM",
		Commands: []*cli.Command{
			{Name: "run", Usage: "run the daemon", Flags: []cli.Flag{config}, Action: run},
			{Name: "check", Usage: "check the settings and list every error", Flags: []cli.Flag{config}, Action: check},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "gladed:", err)
		os.Exit(1)
	}
}

// errNoSettings means that there is neither a settings file nor settings of the platform.
var errNoSettings = eris.New("no settings: give --config or run on the platform")

func check(_ context.Context, c *cli.Command) error {
	if !c.IsSet("config") {
		path, ok := gladeplatform.SettingsPath()
		if !ok {
			return errNoSettings
		}
		if _, err := gladeplatform.LoadSettings(path); err != nil {
			return err
		}
		fmt.Println("settings are valid")
		return nil
	}
	if _, err := gladeconfig.Load(c.String("config")); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

func run(ctx context.Context, c *cli.Command) error {
	if !c.IsSet("config") {
		path, ok := gladeplatform.SettingsPath()
		if !ok {
			return errNoSettings
		}
		return runFront(ctx, path)
	}
	settings, err := gladeconfig.Load(c.String("config"))
	if err != nil {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{
		Name:       "gladed",
		Level:      hclog.LevelFromString(settings.Log.Level),
		JSONFormat: settings.Log.JSON,
	})
	d, _, err := gladedaemon.New(gladedaemon.Config{Settings: settings, Log: log})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log.Info("Serving.", "entry", d.EntryAddress(), "operators", d.OperatorsAddress())
	return d.Run(ctx)
}

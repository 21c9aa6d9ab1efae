package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/eelgrassglade/eelgrassglade/internal/admit/gladememory"
	"github.com/eelgrassglade/eelgrassglade/internal/observe/gladelog"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladefront"
	gladeplatform "github.com/eelgrassglade/eelgrassglade/platform"
)

// metricsPort is the port named in deploy/system.toml.
const metricsPort = "9464"

// runFront runs the entry role with the platform's settings.
func runFront(ctx context.Context, path string) error {
	// The default action of a signal must not end a process that already accepts connections.
	signal.Ignore(syscall.SIGPIPE)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	settings, err := gladeplatform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(gladememory.Derive(settings.Memory, settings.Descriptors).Runtime)
	host, _, err := net.SplitHostPort(settings.EntryAddress)
	if err != nil {
		return eris.Wrapf(err, "entry address %q", settings.EntryAddress)
	}
	writer, closeWriter := gladelog.NewWriter(os.Stdout)
	defer closeWriter()
	front, closeFront, err := gladefront.New(gladefront.Config{
		Settings: settings, SettingsPath: path, MetricsAddress: net.JoinHostPort(host, metricsPort),
		Log: gladelog.New("gladed", writer, hclog.Info),
	})
	if err != nil {
		return err
	}
	defer closeFront()
	go func() {
		for range reload {
			front.Reload()
		}
	}()
	return front.Run(ctx)
}

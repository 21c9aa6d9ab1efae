package main

import (
	"bytes"
	"context"
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/eelgrassglade/eelgrassglade/gladetls"
	"github.com/eelgrassglade/eelgrassglade/internal/proxy/gladestatus"
)

const (
	flagVM         = "vm"
	flagCA         = "ca"
	flagCert       = "cert"
	flagKey        = "key"
	flagServerName = "serverName"
	flagToken      = "token"
	flagLog        = "log"

	maxErrorBytes = 16 << 10
)

// call sends a request to the operators' listener of the VM, with the credentials in the flags.
func call(ctx context.Context, c *cli.Command, method, path, contentType string, body []byte) (*http.Response, error) {
	client, scheme, err := newClient(c)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, scheme+"://"+c.String(flagVM)+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	if token := c.String(flagToken); token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	return gladestatus.Do(client, request)
}

// newClient returns an HTTP client and the URL scheme: https if an authority file is set, http otherwise.
func newClient(c *cli.Command) (*http.Client, string, error) {
	if c.String(flagCA) == "" {
		return http.DefaultClient, "http", nil
	}
	keys, closeKeys, err := gladetls.New(gladetls.Config{
		CA: c.String(flagCA), Cert: c.String(flagCert), Key: c.String(flagKey), ServerName: c.String(flagServerName),
	})
	if err != nil {
		return nil, "", err
	}
	closeKeys()
	return &http.Client{Transport: &http.Transport{TLSClientConfig: keys.ClientConfig()}}, "https", nil
}

package main

import (
	"context"
	"path/filepath"
	"testing"

	"github.com/urfave/cli/v3"

	"poplargw.example/daemon/pki"
	"poplargw.example/daemon/tool"
	"poplargw.example/daemon/transport"
)

// The daemons must be able to load the certificates that "poplargw cert" creates. A host name in place of an
// IP address must be rejected as a usage error.
func TestCertMakesLoadableFiles(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "tls")
	root := &cli.Command{Name: "poplargw", Commands: tool.Commands(),
		ExitErrHandler: func(context.Context, *cli.Command, error) {}}
	if err := root.Run(t.Context(), []string{"poplargw", "cert", "--out", dir, "--ip", "127.0.0.1", "--ip", "::1"}); err != nil {
		t.Fatal(err)
	}
	file := func(name string) string { return filepath.Join(dir, name) }
	if _, err := transport.LoadTLS(file(pki.CertFile), file(pki.KeyFile), file(pki.CAFile)); err != nil {
		t.Error(err)
	}
	if err := root.Run(t.Context(), []string{"poplargw", "cert", "--out", dir + "2", "--ip", "localhost"}); err == nil || exitCode(err) != tool.ExitUsage {
		t.Errorf("host name as --ip: got error %v, want a usage error", err)
	}
}

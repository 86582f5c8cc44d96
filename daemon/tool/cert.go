package tool

import (
	"context"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"
	"poplargw.example/daemon/pki"
)

func certCommand() *cli.Command {
	return &cli.Command{
		Name: "cert", Usage: "create a development CA and one certificate that all processes share",
		Description: "Existing files are never overwritten.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "`DIR` for " + pki.CAFile + ", " + pki.CertFile + " and " + pki.KeyFile, Required: true},
			&cli.StringSliceFlag{Name: "ip", Usage: "`ADDRESS` that the certificate is valid for; can be repeated", Value: []string{"127.0.0.1"}},
			outputFlag(),
		},
		OnUsageError: OnUsageError, Action: cert,
	}
}

// certDocument is the JSON form of the list of files that were written.
type certDocument struct {
	Files []string `json:"files"`
}

func cert(_ context.Context, c *cli.Command) error {
	err := writeCert(c)
	if err != nil {
		showFailure(c, err)
	}
	return err
}

func writeCert(c *cli.Command) error {
	var ips []net.IP
	for _, s := range c.StringSlice("ip") {
		ip := net.ParseIP(s)
		if ip == nil {
			return withExitCode(ExitUsage, fmt.Errorf("--ip %s: not an IP address", s))
		}
		ips = append(ips, ip)
	}
	set, err := pki.New(time.Now(), ips)
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	dir := c.String("out")
	if err := set.Write(dir); err != nil {
		return withExitCode(ExitFailed, err)
	}
	var doc certDocument
	for _, name := range []string{pki.CAFile, pki.CertFile, pki.KeyFile} {
		doc.Files = append(doc.Files, filepath.Join(dir, name))
	}
	return showDocument(c, doc, func(w io.Writer) {
		for _, f := range doc.Files {
			printRow(w, "wrote "+f)
		}
	})
}

package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/urfave/cli/v3"

	"poplargw.example/daemon/pki"
)

func certCommand() *cli.Command {
	return &cli.Command{
		Name:  "cert",
		Usage: "make a development CA and one certificate that all processes share",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "`DIR` for " + pki.CAFile + ", " + pki.CertFile + " and " + pki.KeyFile, Required: true},
			&cli.StringSliceFlag{Name: "ip", Usage: "`ADDRESS` that the certificate is valid for; can be repeated", Value: []string{"127.0.0.1"}},
		},
		Action: cert,
	}
}

func cert(_ context.Context, c *cli.Command) error {
	var ips []net.IP
	for _, s := range c.StringSlice("ip") {
		ip := net.ParseIP(s)
		if ip == nil {
			return fmt.Errorf("--ip %s: not an IP address", s)
		}
		ips = append(ips, ip)
	}
	set, err := pki.New(time.Now(), ips)
	if err != nil {
		return err
	}
	return set.Write(c.String("out"))
}

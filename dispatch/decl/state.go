package decl

import (
	"cmp"
	"errors"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	poplargwv1 "poplargw.example/api/gen/poplargw/v1"
)

// ErrUnknownDomain is returned for a failure domain that is not declared.
var ErrUnknownDomain = errors.New("failure domain is not declared")

// SetDomain returns a copy of the configuration in which the failure domain is out of service if
// out is true, and in service otherwise. It returns ErrUnknownDomain if the domain is not declared.
func SetDomain(c *poplargwv1.Config, name string, out bool) (*poplargwv1.Config, error) {
	c = clone(c)
	for _, d := range c.GetDomains() {
		if d.GetName() == name {
			d.Out = out
			return c, nil
		}
	}
	names := make([]string, 0, len(c.GetDomains()))
	for _, d := range c.GetDomains() {
		names = append(names, d.GetName())
	}
	return nil, fmt.Errorf("%w: %q; declared: %s", ErrUnknownDomain, name, cmp.Or(strings.Join(names, ", "), "none"))
}

// SetServer returns a copy of the configuration in which the backend server is out of service if
// out is true, and in service otherwise. Any server name is accepted, since backend servers
// announce themselves.
func SetServer(c *poplargwv1.Config, name string, out bool) *poplargwv1.Config {
	c = clone(c)
	kept := c.Servers[:0]
	for _, s := range c.GetServers() {
		if s.GetServer() != name {
			kept = append(kept, s)
		}
	}
	c.Servers = kept
	if out {
		c.Servers = append(c.Servers, &poplargwv1.ServerOverride{Server: name, Out: true})
	}
	return c
}

func clone(c *poplargwv1.Config) *poplargwv1.Config {
	if c == nil {
		return &poplargwv1.Config{}
	}
	return proto.Clone(c).(*poplargwv1.Config)
}

// isDomainOut reports whether the failure domain is declared and out of service.
func isDomainOut(c *poplargwv1.Config, name string) bool {
	for _, d := range c.GetDomains() {
		if d.GetName() == name {
			return d.GetOut()
		}
	}
	return false
}

package transport

import (
	"crypto/tls"
	"net/http"

	"github.com/gravitational/trace"
)

// NewServer listens on addr, an IP:port, for the other processes of the system. Clients without a
// certificate of the CA in conf are refused; see LoadTLS.
func NewServer(kind, addr string, conf *tls.Config, h http.Handler) (Server, error) {
	if conf == nil || conf.ClientAuth != tls.RequireAndVerifyClientCert || conf.ClientCAs == nil {
		return nil, trace.BadParameter("the TLS configuration of a peer listener must verify client certificates")
	}
	switch kind {
	case KindTCP:
		return newTCPServer(addr, conf, h)
	case KindQUIC:
		return newQUICServer(addr, conf, h)
	}
	return nil, trace.BadParameter("unknown transport kind %q, allowed are %q and %q", kind, KindTCP, KindQUIC)
}

package transport

import (
	"crypto/tls"
	"net/http"

	"github.com/gravitational/trace"
)

// NewServer listens on addr, an IP:port, for calls of other poplargw processes. It refuses clients
// without a certificate of the CA in conf; see LoadTLS. It returns an error if conf does not require
// client certificates, kind is unknown, or listening fails.
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
	return nil, trace.BadParameter("unknown transport kind %q; allowed: %q, %q", kind, KindTCP, KindQUIC)
}

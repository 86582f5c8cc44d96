package transport

import (
	"crypto/tls"
	"fmt"
	"net/http"
)

// NewServer listens on addr, an IP:port, for the other processes of the system. Clients without a
// certificate of the CA in conf are refused; see LoadTLS.
func NewServer(kind, addr string, conf *tls.Config, h http.Handler) (Server, error) {
	if conf == nil || conf.ClientAuth != tls.RequireAndVerifyClientCert || conf.ClientCAs == nil {
		return nil, fmt.Errorf("the TLS configuration of a peer listener must verify client certificates")
	}
	switch kind {
	case KindTCP:
		return newTCPServer(addr, conf, h)
	case KindQUIC:
		return newQUICServer(addr, conf, h)
	}
	return nil, fmt.Errorf("unknown transport kind %q, allowed are %q and %q", kind, KindTCP, KindQUIC)
}

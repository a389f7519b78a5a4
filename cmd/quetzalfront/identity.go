package main

import (
	"errors"
	"net/http"

	"github.com/integrii/flaggy"

	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/transport/qftls"
)

// operatorIdentity holds the files of the certificate with which an operator
// authenticates to a node.
type operatorIdentity struct {
	certificate, key, authority string
}

func (o *operatorIdentity) attach(sub *flaggy.Subcommand) {
	sub.String(&o.certificate, "c", "certificate", "the operator's certificate, a PEM file")
	sub.String(&o.key, "k", "key", "the certificate's key, a PEM file")
	sub.String(&o.authority, "a", "authority", "the certificate authority of the nodes, a PEM file")
}

// transport returns the HTTP transport to a node and the scheme of its URLs. Without
// any of the flags it connects without TLS, which only a node with Security.Insecure
// accepts.
func (o *operatorIdentity) transport() (transport *http.Transport, scheme string, err error) {
	if *o == (operatorIdentity{}) {
		return &http.Transport{}, "http", nil
	}
	if o.certificate == "" || o.key == "" || o.authority == "" {
		return nil, "", errors.New("expected --certificate, --key and --authority together")
	}
	identity := qftls.NewIdentity(qftimer.NewWall(), qftls.Files{
		Certificate: o.certificate, Key: o.key, Authority: o.authority,
	})
	if _, err := identity.Load(); err != nil {
		return nil, "", err
	}
	return &http.Transport{TLSClientConfig: identity.ClientConfig()}, "https", nil
}

package main

import (
	"errors"
	"net/http"

	"github.com/integrii/flaggy"

	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qf/transport/qftls"
)

// operatorIdentity names the certificate that an operator shows to a node.
type operatorIdentity struct {
	certificate, key, authority string
}

func (o *operatorIdentity) attach(sub *flaggy.Subcommand) {
	sub.String(&o.certificate, "c", "certificate", "the operator's certificate, a PEM file")
	sub.String(&o.key, "k", "key", "the certificate's key, a PEM file")
	sub.String(&o.authority, "a", "authority", "the authority that nodes' certificates are of, a PEM file")
}

// transport returns what connects to a node, and the scheme of its URLs. Without
// any flag it connects without certificates, which only a node with
// Security.Insecure answers.
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

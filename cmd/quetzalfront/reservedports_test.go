package main

import (
	"net"
	"testing"

	"quetzalfront/internal/qf"
)

// TestReservedPortIsFreeForItsNodeOnly fails if another socket gets a port between its choice and the node that listens on it.
func TestReservedPortIsFreeForItsNodeOnly(t *testing.T) {
	ports := reservedPorts{}
	defer ports.close()
	address, err := ports.reserve()
	if err != nil {
		t.Fatal(err)
	}
	if other, err := net.Listen("tcp", address.String()); err == nil {
		_ = other.Close()
		t.Error("another socket gets the port")
	}
	listen := ports.wrap(qf.TCP().Listen)
	listener, err := listen(t.Context(), address)
	if err != nil {
		t.Fatalf("the node can't listen on its port: %v", err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if listener, err = listen(t.Context(), address); err != nil {
		t.Fatalf("the node can't listen again: %v", err)
	}
	_ = listener.Close()
}

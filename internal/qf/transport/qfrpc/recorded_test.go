package qfrpc

import (
	"context"
	"encoding/gob"
	"net"
	"net/netip"
	"net/rpc"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"quetzalfront/internal/qf/state/qftimer"
	"quetzalfront/internal/qftest"
)

// recordedService is the record of the service's name and its methods' names.
const recordedService = "service.names"

// recordedCalls is the record of the method names that clients send.
const recordedCalls = "calls"

// TestMessagesAreAsRecorded fails if nodes of this build and of the recording build can't
// decode each other's messages while a fleet runs both.
func TestMessagesAreAsRecorded(t *testing.T) {
	server := reflect.TypeOf(&Server{})
	names := []string{serviceName}
	files := []string{recordedService, recordedCalls + ".txt"}
	for method := range server.Methods() {
		if method.Type.NumIn() != 3 {
			continue // net/rpc doesn't register it.
		}
		names = append(names, serviceName+"."+method.Name)
		for _, message := range []struct {
			name string
			of   reflect.Type
		}{
			{method.Name + "-args", method.Type.In(1)},
			{method.Name + "-reply", method.Type.In(2).Elem()},
		} {
			files = append(files, message.name+".fields", message.name+".gob")
			t.Run(message.name, func(t *testing.T) { qftest.CheckGob(t, message.name, message.of) })
		}
	}
	recorded := qftest.SplitLines(qftest.ReadRecord(t, recordedService, qftest.JoinLines(names)))
	if !slices.Equal(names, recorded) {
		t.Errorf("the service has %s, but the record has %s", strings.Join(names, ", "), strings.Join(recorded, ", "))
	}
	slices.Sort(files)
	if found := qftest.ListRecords(t); !slices.Equal(files, found) {
		t.Errorf("the messages need the records %v, but there are %v", files, found)
	}
}

// TestCallsAreAsRecorded fails if clients call a method that servers of the recording build
// don't have: it calls every method of the client and reads the names sent.
func TestCallsAreAsRecorded(t *testing.T) {
	names := make(chan string, 1)
	client := NewClient(qftimer.NewVirtual(time.Unix(0, 0)), time.Hour, func(context.Context, string, string) (net.Conn, error) {
		clientEnd, serverEnd := net.Pipe()
		go readCall(serverEnd, names)
		return clientEnd, nil
	}, nil)
	var called []string
	methods := reflect.ValueOf(client)
	for i := range methods.NumMethod() {
		method := methods.Method(i)
		if method.Type().NumIn() < 2 {
			continue // The method makes no call.
		}
		in := []reflect.Value{reflect.ValueOf(t.Context()), reflect.ValueOf(netip.AddrPort{})}
		for k := len(in); k < method.Type().NumIn(); k++ {
			in = append(in, reflect.Zero(method.Type().In(k)))
		}
		method.Call(in) // The call fails, because there is no reply.
		called = append(called, <-names)
	}
	slices.Sort(called)
	qftest.CheckLines(t, recordedCalls, slices.Compact(called)...)
}

// readCall reads the method name of one call and closes the connection.
func readCall(from net.Conn, names chan<- string) {
	var request rpc.Request
	if err := gob.NewDecoder(from).Decode(&request); err != nil {
		request.ServiceMethod = err.Error()
	}
	names <- request.ServiceMethod
	_ = from.Close() // The call is over.
}

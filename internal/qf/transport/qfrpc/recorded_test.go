package qfrpc

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"quetzalfront/internal/qftest"
)

// recordedService lists the service and its methods as net/rpc knows them.
const recordedService = "service.names"

// TestMessagesAreAsRecorded guards that nodes of this build and of the recording one
// understand each other while a fleet has both.
func TestMessagesAreAsRecorded(t *testing.T) {
	server := reflect.TypeOf(&Server{})
	names := []string{serviceName}
	files := []string{recordedService}
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
	recorded := qftest.LinesOf(qftest.Recorded(t, recordedService, qftest.Lines(names)))
	if !slices.Equal(names, recorded) {
		t.Errorf("the service has %s, but the record has %s", strings.Join(names, ", "), strings.Join(recorded, ", "))
	}
	slices.Sort(files)
	if found := qftest.RecordedNames(t); !slices.Equal(files, found) {
		t.Errorf("the messages need the records %v, but there are %v", files, found)
	}
}

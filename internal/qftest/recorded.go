package qftest

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"errors"
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// update is a flag by which records that are missing are written. A record that exists
// is never replaced: it is what another build has written.
var update = flag.Bool("update", false, "write records that are missing from testdata/recorded")

// recordedFolder holds a package's records.
var recordedFolder = filepath.Join("testdata", "recorded")

// ReadRecord returns the record of the name. Under -update it first writes the record as
// it would be now if there is none.
func ReadRecord(t *testing.T, name string, now []byte) []byte {
	t.Helper()
	path := filepath.Join(recordedFolder, name)
	data, err := os.ReadFile(path) //nolint:gosec // The test names the file.
	if errors.Is(err, fs.ErrNotExist) && *update {
		if err := os.MkdirAll(recordedFolder, 0o750); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, now, 0o600); err != nil {
			t.Fatal(err)
		}
		return now
	}
	if err != nil {
		t.Fatalf("there is no record; run the test with -update: %v", err)
	}
	return data
}

// ListRecords lists the records of the package.
func ListRecords(t *testing.T) []string {
	t.Helper()
	found, err := os.ReadDir(recordedFolder)
	if err != nil {
		t.Fatal(err)
	}
	names := make([]string, 0, len(found))
	for _, entry := range found {
		names = append(names, entry.Name())
	}
	return names
}

// JoinLines joins lines to the content of a text record.
func JoinLines(lines []string) []byte { return []byte(strings.Join(lines, "\n") + "\n") }

// SplitLines splits the content of a text record.
func SplitLines(data []byte) []string {
	return strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
}

// CheckGob checks a type of message against its record: NAME.gob holds the bytes that
// the recording build wrote, and NAME.fields the fields that it reads. The bytes must
// decode to the value that was encoded, and each recorded field must still be there
// with its kind. New fields are allowed, because gob skips fields that it doesn't know.
func CheckGob(t *testing.T, name string, of reflect.Type) {
	t.Helper()
	now := Fields(Gob, of)
	fields := SplitLines(ReadRecord(t, name+".fields", JoinLines(now)))
	for _, field := range fields {
		if !slices.Contains(now, field) {
			t.Errorf("%s: the field %q is lost or has another kind: builds before can't read it", name, field)
		}
	}
	filled := reflect.New(of)
	FillOnly(Gob, filled.Interface(), fields)
	data := ReadRecord(t, name+".gob", encodeGob(t, filled))
	decoded := reflect.New(of)
	if err := gob.NewDecoder(bytes.NewReader(data)).DecodeValue(decoded); err != nil {
		t.Fatalf("%s: the recorded bytes can't be read: %v", name, err)
	}
	checkEqual(t, name, decoded, filled)
	again := reflect.New(of)
	if err := gob.NewDecoder(bytes.NewReader(encodeGob(t, filled))).DecodeValue(again); err != nil {
		t.Fatalf("%s: what is written can't be read: %v", name, err)
	}
	checkEqual(t, name+", written again", again, filled)
}

func encodeGob(t *testing.T, value reflect.Value) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).EncodeValue(value); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// CheckJSON checks a type of row against its record, NAME.json. The recorded bytes must
// decode to the filled value, and the filled value must be written as the same bytes.
// Decode and encode are those of the production code.
func CheckJSON[T any](t *testing.T, name string, decode func([]byte) (T, error), encode func(*T) ([]byte, error)) {
	t.Helper()
	var filled T
	Fill(JSON, &filled)
	now, err := encode(&filled)
	if err != nil {
		t.Fatal(err)
	}
	data := ReadRecord(t, name+".json", now)
	decoded, err := decode(data)
	if err != nil {
		t.Fatalf("%s: the recorded bytes can't be read: %v", name, err)
	}
	checkEqual(t, name, reflect.ValueOf(&decoded), reflect.ValueOf(&filled))
	if !bytes.Equal(now, data) {
		t.Errorf("%s is written as\n%s\nbut the record is\n%s", name, now, data)
	}
}

// CheckPlainJSON is CheckJSON for rows that are read and written by encoding/json alone.
func CheckPlainJSON[T any](t *testing.T, name string) {
	t.Helper()
	CheckJSON(t, name, func(data []byte) (T, error) {
		var value T
		err := json.Unmarshal(data, &value)
		return value, err
	}, func(value *T) ([]byte, error) { return json.Marshal(value) })
}

func checkEqual(t *testing.T, name string, got, want reflect.Value) {
	t.Helper()
	if !reflect.DeepEqual(got.Interface(), want.Interface()) {
		t.Errorf("%s: read as\n%+v\nbut recorded was\n%+v", name, got.Elem(), want.Elem())
	}
}

// CheckLines checks texts that are stored or sent, such as keys of rows, against the
// record NAME.txt. The texts hold no line ends.
func CheckLines(t *testing.T, name string, lines ...string) {
	t.Helper()
	recorded := SplitLines(ReadRecord(t, name+".txt", JoinLines(lines)))
	if !slices.Equal(lines, recorded) {
		t.Errorf("%s are\n%q\nbut the record is\n%q", name, lines, recorded)
	}
}

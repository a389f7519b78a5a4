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

// update makes tests write missing records. An existing record is never replaced,
// because it holds the output of an earlier build.
var update = flag.Bool("update", false, "write records that are missing from testdata/recorded")

// recordedFolder is the folder of a package's records.
var recordedFolder = filepath.Join("testdata", "recorded")

// ReadRecord returns the record with the name. If there is none, it fails the test or,
// with -update, writes and returns the current output.
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

// ListRecords returns the file names of the package's records.
func ListRecords(t *testing.T) []string {
	t.Helper()
	files, err := os.ReadDir(recordedFolder)
	if err != nil {
		t.Fatal(err)
	}
	names := make([]string, 0, len(files))
	for _, file := range files {
		names = append(names, file.Name())
	}
	return names
}

// JoinLines joins lines into the content of a text record.
func JoinLines(lines []string) []byte { return []byte(strings.Join(lines, "\n") + "\n") }

// SplitLines splits the content of a text record into its lines.
func SplitLines(data []byte) []string {
	return strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
}

// CheckGob checks that a message type is compatible with the build that wrote its record:
// NAME.gob holds the bytes that this build encoded, and NAME.fields the fields that it
// reads. The bytes must decode to the encoded value, and each recorded field must still
// exist with its kind. New fields are allowed, because gob skips unknown fields.
func CheckGob(t *testing.T, name string, of reflect.Type) {
	t.Helper()
	now := Fields(Gob, of)
	fields := SplitLines(ReadRecord(t, name+".fields", JoinLines(now)))
	for _, field := range fields {
		if !slices.Contains(now, field) {
			t.Errorf("%s: the field %q is missing or has another kind: earlier builds can't read it", name, field)
		}
	}
	filled := reflect.New(of)
	FillOnly(Gob, filled.Interface(), fields)
	data := ReadRecord(t, name+".gob", encodeGob(t, filled))
	decoded := reflect.New(of)
	if err := gob.NewDecoder(bytes.NewReader(data)).DecodeValue(decoded); err != nil {
		t.Fatalf("%s: the recorded bytes can't be decoded: %v", name, err)
	}
	checkEqual(t, name, decoded, filled)
	again := reflect.New(of)
	if err := gob.NewDecoder(bytes.NewReader(encodeGob(t, filled))).DecodeValue(again); err != nil {
		t.Fatalf("%s: the encoded value can't be decoded: %v", name, err)
	}
	checkEqual(t, name+", encoded again", again, filled)
}

// encodeGob encodes a value as gob.
func encodeGob(t *testing.T, value reflect.Value) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).EncodeValue(value); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// CheckJSON checks a row type against its record, NAME.json. The recorded bytes must
// decode to the filled value, and the filled value must encode to the same bytes. Decode
// and encode are those of the production code.
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
		t.Fatalf("%s: the recorded bytes can't be decoded: %v", name, err)
	}
	checkEqual(t, name, reflect.ValueOf(&decoded), reflect.ValueOf(&filled))
	if !bytes.Equal(now, data) {
		t.Errorf("%s encodes to\n%s\nbut the record is\n%s", name, now, data)
	}
}

// CheckPlainJSON is CheckJSON for rows that are decoded and encoded by encoding/json alone.
func CheckPlainJSON[T any](t *testing.T, name string) {
	t.Helper()
	CheckJSON(t, name, func(data []byte) (T, error) {
		var value T
		err := json.Unmarshal(data, &value)
		return value, err
	}, func(value *T) ([]byte, error) { return json.Marshal(value) })
}

// checkEqual fails the test unless the decoded value equals the recorded one.
func checkEqual(t *testing.T, name string, got, want reflect.Value) {
	t.Helper()
	if !reflect.DeepEqual(got.Interface(), want.Interface()) {
		t.Errorf("%s decodes to\n%+v\nbut the record is\n%+v", name, got.Elem(), want.Elem())
	}
}

// CheckLines checks stored or sent texts, such as row keys, against the record NAME.txt.
// The texts must not contain line breaks.
func CheckLines(t *testing.T, name string, lines ...string) {
	t.Helper()
	recorded := SplitLines(ReadRecord(t, name+".txt", JoinLines(lines)))
	if !slices.Equal(lines, recorded) {
		t.Errorf("%s are\n%q\nbut the record is\n%q", name, lines, recorded)
	}
}

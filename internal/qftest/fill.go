package qftest

import (
	"encoding"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/netip"
	"reflect"
	"strings"
	"time"
)

// Codec says how values of a type are written, and so which names its fields have.
type Codec int

// The codecs of which there are records.
const (
	Gob Codec = iota
	JSON
)

// elements is the length of filled slices. Maps get one element, so that what is
// written doesn't depend on their order.
const elements = 2

// Fields lists the wire paths of a type with the kind of each, as "PATH KIND", in the
// order of its declaration. Paths consist of the names on the wire: names of types
// aren't in them.
func Fields(codec Codec, of reflect.Type) []string {
	f := &filler{codec: codec}
	f.fill(reflect.New(of).Elem(), "", "")
	return f.fields
}

// Fill sets each exported field of the value behind the pointer to a value other than
// zero that depends on the field's wire path alone.
func Fill(codec Codec, pointer any) {
	f := &filler{codec: codec}
	f.fill(reflect.ValueOf(pointer).Elem(), "", "")
}

// FillOnly is Fill for the listed fields alone; the others stay zero.
func FillOnly(codec Codec, pointer any, fields []string) {
	f := &filler{codec: codec, only: map[string]bool{}}
	for _, field := range fields {
		f.only[field] = true
	}
	f.fill(reflect.ValueOf(pointer).Elem(), "", "")
}

// filler fills one value and lists the fields that it meets.
type filler struct {
	codec Codec
	// only holds the fields that are filled; nil stands for all.
	only   map[string]bool
	fields []string
	// open holds the types that enclose the present one, against endless recursion.
	open []reflect.Type
}

// fill sets a value. The path has the indexes of elements, the generic path has not.
func (f *filler) fill(v reflect.Value, path, generic string) {
	if v.Kind() == reflect.Pointer {
		if f.isOpen(v.Type().Elem()) {
			return
		}
		target := reflect.New(v.Type().Elem())
		before := len(f.fields)
		f.fill(target.Elem(), path, generic)
		if len(f.fields) > before && !target.Elem().IsZero() {
			v.Set(target)
		}
		return
	}
	field := wirePath(generic) + " " + f.kind(v.Type())
	if f.only != nil && !f.only[field] {
		return
	}
	f.list(field)
	if f.isWhole(v.Type()) {
		f.fillWhole(v, path)
		return
	}
	f.open = append(f.open, v.Type())
	defer func() { f.open = f.open[:len(f.open)-1] }()
	switch v.Kind() {
	case reflect.Struct:
		f.fillStruct(v, path, generic)
	case reflect.Slice, reflect.Array:
		f.fillList(v, path, generic)
	case reflect.Map:
		f.fillMap(v, path, generic)
	default:
		fillScalar(v, path)
	}
}

// wirePath shows a path. The whole value is ".".
func wirePath(path string) string {
	if path == "" {
		return "."
	}
	return strings.TrimPrefix(path, ".")
}

// list adds a field unless an earlier element has brought it.
func (f *filler) list(field string) {
	for _, known := range f.fields {
		if known == field {
			return
		}
	}
	f.fields = append(f.fields, field)
}

func (f *filler) isOpen(t reflect.Type) bool {
	for _, open := range f.open {
		if open == t {
			return true
		}
	}
	return false
}

func (f *filler) fillStruct(v reflect.Value, path, generic string) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name, isWritten := f.nameOf(&field)
		if !isWritten {
			continue
		}
		f.fill(v.Field(i), path+name, generic+name)
	}
}

// nameOf returns the path step of a field, and whether the codec writes it.
func (f *filler) nameOf(field *reflect.StructField) (step string, isWritten bool) {
	isBase := field.Type.Kind() == reflect.Struct
	isOmitted := field.Type.Kind() == reflect.Chan || field.Type.Kind() == reflect.Func
	if isOmitted || !field.IsExported() && (!field.Anonymous || !isBase || f.codec == Gob) {
		return "", false
	}
	if f.codec == Gob {
		return "." + field.Name, true
	}
	tag := field.Tag.Get("json")
	name, _, _ := strings.Cut(tag, ",")
	switch {
	case tag == "-":
		return "", false
	case name != "":
		return "." + name, true
	case field.Anonymous && isBase:
		return "", true // Its fields are written as those of the outer one.
	default:
		return "." + field.Name, true
	}
}

func (f *filler) fillList(v reflect.Value, path, generic string) {
	if f.isOpenIn(v.Type().Elem()) {
		return
	}
	if v.Kind() == reflect.Slice {
		v.Set(reflect.MakeSlice(v.Type(), elements, elements))
	}
	for i := range v.Len() {
		f.fill(v.Index(i), fmt.Sprintf("%s[%d]", path, i), generic+"[]")
	}
}

func (f *filler) fillMap(v reflect.Value, path, generic string) {
	if f.isOpenIn(v.Type().Elem()) {
		return
	}
	key := reflect.New(v.Type().Key()).Elem()
	value := reflect.New(v.Type().Elem()).Elem()
	f.fill(key, path+"{key}", generic+"{key}")
	f.fill(value, path+"{}", generic+"{}")
	v.Set(reflect.MakeMapWithSize(v.Type(), 1))
	v.SetMapIndex(key, value)
}

// isOpenIn reports whether elements of the type would enclose themselves.
func (f *filler) isOpenIn(element reflect.Type) bool {
	if element.Kind() == reflect.Pointer {
		element = element.Elem()
	}
	return element.Kind() == reflect.Struct && f.isOpen(element)
}

// isWhole reports whether a type is written as one value, by a method of its own or,
// for bytes, by the codec.
func (f *filler) isWhole(t reflect.Type) bool {
	return f.method(t) != "" || isBytes(t)
}

func isBytes(t reflect.Type) bool {
	return t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Uint8
}

// method names the kind of method by which a type is written, if there is one.
func (f *filler) method(t reflect.Type) string {
	pointer := reflect.PointerTo(t)
	for _, m := range []struct {
		codec Codec
		kind  string
		of    reflect.Type
	}{
		{Gob, "gob", reflect.TypeFor[gob.GobEncoder]()},
		{Gob, "binary", reflect.TypeFor[encoding.BinaryMarshaler]()},
		{JSON, "json", reflect.TypeFor[json.Marshaler]()},
		{JSON, "text", reflect.TypeFor[encoding.TextMarshaler]()},
	} {
		if m.codec == f.codec && pointer.Implements(m.of) {
			return m.kind
		}
	}
	return ""
}

// kind names what a type is on the wire. Names of types appear only for those of
// other modules, whose names are fixed.
func (f *filler) kind(t reflect.Type) string {
	method := f.method(t)
	switch {
	case method != "" && !strings.HasPrefix(t.PkgPath(), "quetzalfront"):
		return method + ":" + t.String()
	case method != "":
		return method + ":" + t.Kind().String()
	case isBytes(t):
		return "bytes"
	case t.Kind() == reflect.Array:
		return fmt.Sprintf("array:%d", t.Len())
	default:
		return t.Kind().String()
	}
}

// fillWhole fills a type that is written as one value.
func (f *filler) fillWhole(v reflect.Value, path string) {
	n := number(path)
	address := netip.AddrFrom4([4]byte{10, byte(n >> 8), byte(n >> 16), byte(n>>24) | 1})
	switch v.Interface().(type) {
	case time.Time:
		v.Set(reflect.ValueOf(time.Unix(1_700_000_000+int64(n%1_000_000), 1+int64(n%999_999_999)).UTC()))
	case netip.Addr:
		v.Set(reflect.ValueOf(address))
	case netip.AddrPort:
		v.Set(reflect.ValueOf(netip.AddrPortFrom(address, uint16(n)|1)))
	case netip.Prefix:
		v.Set(reflect.ValueOf(netip.PrefixFrom(address, 32)))
	default:
		if isBytes(v.Type()) && f.method(v.Type()) == "" {
			v.SetBytes([]byte(wirePath(path)))
			return
		}
		fillScalar(v, path)
	}
}

// fillScalar panics for kinds that it doesn't know, so that no field stays unfilled
// without being noticed.
func fillScalar(v reflect.Value, path string) {
	n := number(path)
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString("at " + wirePath(path))
	case reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int:
		v.SetInt(int64(1 + n%100))
	case reflect.Int64: // Durations are of this kind.
		v.SetInt(int64(1+n%1000) * int64(time.Millisecond))
	case reflect.Uint8:
		v.SetUint(1 + n%200)
	case reflect.Uint16, reflect.Uint32, reflect.Uint:
		v.SetUint(1 + n%60_000)
	case reflect.Uint64:
		v.SetUint(n | 1)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(1+n%1000) / 8)
	default:
		panic(fmt.Sprintf("can't fill %s at %q", v.Type(), path))
	}
}

// number derives a number from a path.
func number(path string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(path)) // A hash takes all bytes.
	return h.Sum64()
}

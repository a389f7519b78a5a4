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

// Codec is the encoding of a type's values. It determines the wire names of the fields.
type Codec int

// The codecs that records use.
const (
	Gob Codec = iota
	JSON
)

// elements is the length of filled slices. Maps get one element, so that the encoding
// doesn't depend on their iteration order.
const elements = 2

// Fields returns the wire paths of a type's fields with the kind of each, as "PATH KIND",
// in the order of declaration. Paths consist of wire names and contain no type names.
func Fields(codec Codec, of reflect.Type) []string {
	f := &filler{codec: codec}
	f.fill(reflect.New(of).Elem(), "", "")
	return f.fields
}

// Fill sets each exported field of the value at the pointer to a non-zero value that
// depends only on the field's wire path.
func Fill(codec Codec, pointer any) {
	f := &filler{codec: codec}
	f.fill(reflect.ValueOf(pointer).Elem(), "", "")
}

// FillOnly is Fill for the listed fields only. The others stay zero.
func FillOnly(codec Codec, pointer any, fields []string) {
	f := &filler{codec: codec, only: map[string]bool{}}
	for _, field := range fields {
		f.only[field] = true
	}
	f.fill(reflect.ValueOf(pointer).Elem(), "", "")
}

// filler fills one value and collects the fields that it visits.
type filler struct {
	codec Codec
	// only holds the fields to fill; nil means all.
	only   map[string]bool
	fields []string
	// enclosing holds the types that enclose the current one, to stop endless recursion.
	enclosing []reflect.Type
}

// fill sets a value. The path contains the indexes of elements, the generic path does not.
func (f *filler) fill(v reflect.Value, path, generic string) {
	if v.Kind() == reflect.Pointer {
		if f.isEnclosing(v.Type().Elem()) {
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
	f.addField(field)
	if f.isOpaque(v.Type()) {
		f.fillOpaque(v, path)
		return
	}
	f.enclosing = append(f.enclosing, v.Type())
	defer func() { f.enclosing = f.enclosing[:len(f.enclosing)-1] }()
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

// wirePath returns a path without its leading dot. The path of the whole value is ".".
func wirePath(path string) string {
	if path == "" {
		return "."
	}
	return strings.TrimPrefix(path, ".")
}

// addField adds a field unless an earlier element has added it.
func (f *filler) addField(field string) {
	for _, known := range f.fields {
		if known == field {
			return
		}
	}
	f.fields = append(f.fields, field)
}

// isEnclosing reports whether the type encloses the current value.
func (f *filler) isEnclosing(t reflect.Type) bool {
	for _, enclosing := range f.enclosing {
		if enclosing == t {
			return true
		}
	}
	return false
}

// fillStruct fills the encoded fields of a struct.
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

// nameOf returns the path step of a field, and whether the codec encodes it.
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
		return "", true // Its fields are encoded as fields of the outer struct.
	default:
		return "." + field.Name, true
	}
}

// fillList fills the elements of a slice or an array.
func (f *filler) fillList(v reflect.Value, path, generic string) {
	if f.isRecursive(v.Type().Elem()) {
		return
	}
	if v.Kind() == reflect.Slice {
		v.Set(reflect.MakeSlice(v.Type(), elements, elements))
	}
	for i := range v.Len() {
		f.fill(v.Index(i), fmt.Sprintf("%s[%d]", path, i), generic+"[]")
	}
}

// fillMap fills a map with one element.
func (f *filler) fillMap(v reflect.Value, path, generic string) {
	if f.isRecursive(v.Type().Elem()) {
		return
	}
	key := reflect.New(v.Type().Key()).Elem()
	value := reflect.New(v.Type().Elem()).Elem()
	f.fill(key, path+"{key}", generic+"{key}")
	f.fill(value, path+"{}", generic+"{}")
	v.Set(reflect.MakeMapWithSize(v.Type(), 1))
	v.SetMapIndex(key, value)
}

// isRecursive reports whether an element of the type would enclose itself.
func (f *filler) isRecursive(element reflect.Type) bool {
	if element.Kind() == reflect.Pointer {
		element = element.Elem()
	}
	return element.Kind() == reflect.Struct && f.isEnclosing(element)
}

// isOpaque reports whether a type is encoded as one value, by a method of its own or,
// for bytes, by the codec.
func (f *filler) isOpaque(t reflect.Type) bool {
	return f.method(t) != "" || isBytes(t)
}

func isBytes(t reflect.Type) bool {
	return t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Uint8
}

// method returns the kind of method that encodes a type, or "" if there is none.
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

// kind returns the wire kind of a type. It contains type names only for types of other
// modules, whose names are fixed.
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

// fillOpaque fills a type that is encoded as one value.
func (f *filler) fillOpaque(v reflect.Value, path string) {
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

// fillScalar fills a scalar. It panics for an unsupported kind, so that no field stays
// zero unnoticed.
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

// number returns a number that is derived from a path.
func number(path string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(path)) // Write of a hash never fails.
	return h.Sum64()
}

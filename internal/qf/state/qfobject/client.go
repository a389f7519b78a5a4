// Package qfobject is the HTTP client of the platform's object store. Conditional
// writes use the preconditions of RFC 9110: If-Match names the version that is
// replaced, If-None-Match requires absence, and ETag carries the version.
package qfobject

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"quetzalfront/internal/qf"
	"quetzalfront/internal/qf/state/qfplatform"
)

// The paths of the service. The key is in the query, because HTTP routers remove empty
// and dotted segments from a path.
const (
	PathObject  = "/object"
	PathObjects = "/objects"
)

// AnyVersion is the value of If-None-Match that requires absence.
const AnyVersion = "*"

// MaxObjectBytes is the maximum size of an object's body.
const MaxObjectBytes = 32 << 20

// Client is a qf.ObjectStore that calls the service over HTTP.
type Client struct {
	service *qfplatform.Client
}

// NewClient returns a client of the service at the address. The timeout applies to
// each call.
func NewClient(address netip.AddrPort, timeout time.Duration, dial qf.Dial) *Client {
	return &Client{service: qfplatform.NewClient(address, timeout, dial)}
}

type objectQuery struct {
	Key string `url:"key"`
}

type listQuery struct {
	Prefix string `url:"prefix"`
}

// ETagOf returns the entity tag of a version.
func ETagOf(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

// VersionOf returns the version that an entity tag names.
func VersionOf(tag string) (uint64, error) {
	text, err := strconv.Unquote(tag)
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(text, 10, 64)
}

// Get implements qf.ObjectStore.
func (c *Client) Get(ctx context.Context, key string) (qf.Object, error) {
	response, err := c.service.Do(ctx, c.service.NewRequest().Get(PathObject).QueryStruct(&objectQuery{Key: key}))
	if err != nil {
		return qf.Object{}, c.service.ReadError(qf.StepObjectGet, err)
	}
	defer func() { _ = response.Body.Close() }() // The body was read to its end or isn't needed.
	if err := c.service.StatusError(qf.StepObjectGet, response); err != nil {
		return qf.Object{}, err
	}
	body, err := readBody(response.Body)
	if err != nil {
		return qf.Object{}, c.service.ReadError(qf.StepObjectGet, err)
	}
	version, err := VersionOf(response.Header.Get("ETag"))
	if err != nil {
		return qf.Object{}, c.service.ReadError(qf.StepObjectGet, err)
	}
	return qf.Object{Key: key, Version: version, Body: body}, nil
}

func readBody(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxObjectBytes+1))
	if err == nil && len(body) > MaxObjectBytes {
		err = errors.New("the object is too large")
	}
	return body, err
}

// Put implements qf.ObjectStore.
func (c *Client) Put(ctx context.Context, key string, version uint64, body []byte) qf.Result[uint64] {
	if len(body) > MaxObjectBytes {
		return qf.NotDoneFor[uint64](qf.NewError(qf.CodeTooLarge, qf.StepObjectPut, "", "the object is too large"))
	}
	s := c.service.NewRequest().Put(PathObject).QueryStruct(&objectQuery{Key: key}).Body(bytes.NewReader(body))
	if version == 0 {
		s = s.Set("If-None-Match", AnyVersion)
	} else {
		s = s.Set("If-Match", ETagOf(version))
	}
	response, err := c.service.Do(ctx, s)
	if err != nil {
		return qfplatform.FailedWrite[uint64](c.service, qf.StepObjectPut, err)
	}
	defer func() { _ = response.Body.Close() }() // Nothing is read from it.
	return c.putResult(response)
}

// putResult returns the result of a write; a response without a valid ETag leaves it
// unknown.
func (c *Client) putResult(response *http.Response) qf.Result[uint64] {
	result := qfplatform.WriteResult[uint64](c.service, qf.StepObjectPut, response, 0)
	if result.Certainty != qf.Done {
		return result
	}
	version, err := VersionOf(response.Header.Get("ETag"))
	if err != nil {
		return qfplatform.FailedWrite[uint64](c.service, qf.StepObjectPut, err)
	}
	return qf.DoneWith(version)
}

// List implements qf.ObjectStore.
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	var keys []string
	s := c.service.NewRequest().Get(PathObjects).QueryStruct(&listQuery{Prefix: prefix})
	err := c.service.Read(ctx, qf.StepObjectGet, s, &keys)
	return keys, err
}

// Package contract tests that every implementation of an interface of package qf
// behaves alike, also under faults. Each test runs on the stand-in itself and on the
// product's client, which calls the stand-in's HTTP handler over an in-memory
// network. The tests run on the virtual time of testing/synctest.
package contract

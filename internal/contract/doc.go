// Package contract tests what the implementations of each root interface have in
// common. One function states the contract of an interface, with its faults as
// rows, and every implementation runs through it: the stand-in by itself, and the
// product's adapter over a network in memory against the stand-in's handler. The
// tests run in a bubble of virtual time.
package contract

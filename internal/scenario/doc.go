// Package scenario runs scripted scenarios on virtual time: a deployment on
// stand-ins and a network in memory, with the real node, transports and callers'
// library. The scripts are in testdata/script; docs/SCENARIOS.md says which
// promise or fault each of them proves.
package scenario

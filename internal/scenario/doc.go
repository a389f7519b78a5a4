// Package scenario runs scripted scenarios on virtual time. Each scenario deploys real
// nodes, transports and client libraries on stand-in services and an in-memory
// network. The scripts are in testdata/script; docs/SCENARIOS.md lists which promise or
// fault each script covers.
package scenario

// Package benchnode measures the latency that a node adds to a call of an endpoint. The
// figures are in docs/measurements/node.md.
package benchnode

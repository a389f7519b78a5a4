package qf

// NodeID names one run of an entry node's process. A restarted process takes a
// new Incarnation, not a new NodeID.
type NodeID string

// VMID names a virtual machine as the cloud API does.
type VMID string

// EndpointID names one server process (model engine or plain service) on a VM.
type EndpointID string

// EntryName names an entry of the catalogue.
type EntryName string

// Organisation names a customer whose requests are limited together.
type Organisation string

// Region names a group of availability zones with slow, paid links to others.
type Region string

// AvailabilityZone names a group of VMs that can be reclaimed together.
type AvailabilityZone string

// Version names a release of an entry's endpoints.
type Version string

// RequestID names one accepted request over all of its attempts and owners.
type RequestID string

// AttemptID names one attempt of a request at one endpoint.
type AttemptID string

// IdempotencyKey is chosen by the caller and names one once-only request
// within an organisation and entry.
type IdempotencyKey string

// TransactionID names one transaction, so that a reader can determine whether a
// write whose answer was lost took effect.
type TransactionID string

// Revision numbers the states of the catalogue. It only rises.
type Revision uint64

// Incarnation numbers the starts of one VM or node. It only rises.
type Incarnation uint64

// Generation numbers the owners of one request. A record with a lower
// generation than one already seen is stale.
type Generation uint64

// FencingNumber numbers the holders of a lease. It only rises.
type FencingNumber uint64

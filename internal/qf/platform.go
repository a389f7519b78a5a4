package qf

import (
	"context"
	"net/netip"
	"time"
)

// Row is one row of the table service.
type Row struct {
	Key string
	// Version rises by one with each write of the row and starts at 1.
	Version uint64
	Value   []byte
	// Writer is the transaction that wrote this version.
	Writer TransactionID
	// Era is the store's era in which the row was read. It is set also if there is no row.
	Era StoreEra
}

// Condition requires a row to be at a version. Version 0 requires its absence.
type Condition struct {
	Key     string
	Version uint64
	// Era is the store's era in which the version was read. The condition fails in a later
	// era; 0 means any.
	Era StoreEra
}

// Write sets or deletes a row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction is a conditional write of several rows that applies whole or not
// at all.
type Transaction struct {
	// ID is unique over all transactions ever sent.
	ID         TransactionID
	Conditions []Condition
	Writes     []Write
}

// Committed is the result of a transaction that took effect.
type Committed struct {
	ID TransactionID
	// Era is the store's era in which the transaction took effect.
	Era StoreEra
}

// Table is the platform's transactional table service.
//
// Commit is NotDone with CodeConflict if a condition failed, NotDone with
// CodeUnavailable if the request provably did not reach the service, and
// Unknown otherwise.
type Table interface {
	// Read returns the row, or an *Error with CodeNotFound.
	Read(ctx context.Context, key string) (Row, error)
	// Scan returns at most limit rows whose key starts with the prefix and is
	// greater than after, in the order of their keys.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction if all its conditions hold.
	Commit(ctx context.Context, transaction Transaction) Result[Committed]
}

// Object is one object of the object store.
type Object struct {
	Key     string
	Version uint64
	Body    []byte
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Get returns the object, or an *Error with CodeNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put stores a body if the object is at the version; 0 requires absence.
	// The value of a done result is the new version.
	Put(ctx context.Context, key string, version uint64, body []byte) Result[uint64]
	// List returns the keys with the prefix, in sorted order.
	List(ctx context.Context, prefix string) ([]string, error)
}

// VMClass is the pricing class of a VM.
type VMClass string

// The classes of VMs.
const (
	ClassReclaimable VMClass = "Reclaimable"
	ClassOnDemand    VMClass = "OnDemand"
)

// VMState is the state of a VM as reported by the cloud.
type VMState string

// The states of a VM.
const (
	VMStarting VMState = "Starting"
	VMLive     VMState = "Live"
	VMLeaving  VMState = "Leaving"
	VMGone     VMState = "Gone"
)

// VMRole is the kind of server that runs on a VM.
type VMRole string

// The roles of a VM.
const (
	RoleEntryNode    VMRole = "EntryNode"
	RoleModelEngine  VMRole = "ModelEngine"
	RolePlainService VMRole = "PlainService"
)

// VM is a virtual machine as the cloud and the VM list describe it.
type VM struct {
	ID               VMID
	Incarnation      Incarnation
	Role             VMRole
	Entry            EntryName
	Version          Version
	Region           Region
	AvailabilityZone AvailabilityZone
	Class            VMClass
	State            VMState
	// Address is where the VM's server listens: the endpoint, or an entry
	// node's callers' port.
	Address netip.AddrPort
	// PeerAddress is an entry node's port for other nodes.
	PeerAddress netip.AddrPort
	// LeaveAt is the time of the reclaim. It is set exactly if State is
	// VMLeaving.
	LeaveAt time.Time
	// ChecksFencing means that the VM's endpoint refuses orders with a stale fencing
	// number.
	ChecksFencing bool
	// Token is the client's identifier of the start request.
	Token string
}

// Price is the price of a class of VM in an availability zone.
type Price struct {
	AvailabilityZone AvailabilityZone
	Class            VMClass
	Role             VMRole
	// PerHour is in thousandths of the currency unit.
	PerHour uint64
}

// StartVMRequest asks the cloud for a VM. Token makes the request idempotent: a repeat
// returns the same VM.
type StartVMRequest struct {
	Token            string
	Role             VMRole
	Entry            EntryName
	Version          Version
	AvailabilityZone AvailabilityZone
	Class            VMClass
}

// Notice announces that a VM will be reclaimed.
type Notice struct {
	VM          VMID
	Incarnation Incarnation
	LeaveAt     time.Time
}

// Cloud is the platform's API for VMs.
type Cloud interface {
	ListPrices(ctx context.Context) ([]Price, error)
	ListVMs(ctx context.Context) ([]VM, error)
	// StartVM starts a VM, or returns the one that was started with the same token.
	StartVM(ctx context.Context, start StartVMRequest) Result[VM]
	StopVM(ctx context.Context, vm VMID) Result[VM]
	// ListNotices returns the notices of reclaims.
	ListNotices(ctx context.Context) ([]Notice, error)
}

// VMLister reads the platform's list of live and leaving VMs, which lags behind the cloud.
type VMLister interface {
	// ListActiveVMs returns the VMs and the time at which the list was current.
	ListActiveVMs(ctx context.Context) ([]VM, time.Time, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Size returns the size in bytes of a version's weights.
	Size(ctx context.Context, entry EntryName, version Version) (uint64, error)
	// Reserve reserves a share of the store's rate from now on and returns the time
	// until a load of the weights would be complete.
	Reserve(ctx context.Context, entry EntryName, version Version) (time.Duration, error)
}

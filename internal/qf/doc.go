// Package qf holds the interfaces, the shared value types, the string enums
// and the typed errors of quetzalfront. It imports no other package of the
// module: every layer (transport, protocol, coordination, state) depends on
// it, and it depends on none of them.
package qf

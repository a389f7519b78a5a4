// Package qfconfig keeps the operator's configuration that is in force at a node.
package qfconfig

import (
	"strings"
	"sync"
	"sync/atomic"

	"quetzalfront/internal/qf"
)

// Current is the configuration in force. Its revision never falls.
type Current struct {
	index atomic.Pointer[Index]
	// mu serialises changes; readers need no lock.
	mu sync.Mutex
}

// Get returns the configuration in force, or nil if there is none yet.
func (c *Current) Get() *Index { return c.index.Load() }

// Revision returns the revision in force, or 0 if there is none yet.
func (c *Current) Revision() qf.Revision {
	if x := c.Get(); x != nil {
		return x.Configuration.Revision
	}
	return 0
}

// Apply puts a configuration in force if its revision is newer, and reports whether it
// did. The argument encoded is the form received from the platform, for peers.
func (c *Current) Apply(configuration *qf.Configuration, encoded []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if configuration.Revision <= c.Revision() {
		return false
	}
	c.index.Store(compile(configuration, encoded))
	return true
}

// Index is one configuration, indexed for lookups. It is immutable.
type Index struct {
	Configuration *qf.Configuration
	// Encoded is the configuration as received from the platform.
	Encoded []byte
	// routes holds the routes of each host by path prefix.
	routes map[string]map[string]*qf.CallerRoute
	// keys holds the organisations by their API keys.
	keys map[string]*qf.OrganisationSettings
	// entries holds the entries by name.
	entries map[qf.EntryName]*qf.EntrySettings
}

// compile builds the index of a configuration.
func compile(c *qf.Configuration, encoded []byte) *Index {
	x := &Index{
		Configuration: c, Encoded: encoded,
		routes: map[string]map[string]*qf.CallerRoute{}, keys: map[string]*qf.OrganisationSettings{},
		entries: map[qf.EntryName]*qf.EntrySettings{},
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		if x.routes[route.Host] == nil {
			x.routes[route.Host] = map[string]*qf.CallerRoute{}
		}
		x.routes[route.Host][route.Prefix] = route
	}
	for i := range c.Entries {
		x.entries[c.Entries[i].Entry] = &c.Entries[i]
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			x.keys[key] = &c.Organisations[i]
		}
	}
	return x
}

// Route returns the route with the longest prefix that begins the path, or nil.
func (x *Index) Route(host, path string) *qf.CallerRoute {
	byPrefix := x.routes[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := byPrefix[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}

// HasOrganisations reports whether the configuration lists organisations, so that
// requests need a key.
func (x *Index) HasOrganisations() bool { return len(x.Configuration.Organisations) > 0 }

// Organisation returns the organisation that a key belongs to, or nil.
func (x *Index) Organisation(key string) *qf.OrganisationSettings { return x.keys[key] }

// Entry returns the settings of an entry, or nil.
func (x *Index) Entry(name qf.EntryName) *qf.EntrySettings { return x.entries[name] }

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
	table atomic.Pointer[Index]
	// mu orders the changes; readers need no lock.
	mu sync.Mutex
}

// Get returns the configuration in force, or nil if none is known yet.
func (c *Current) Get() *Index { return c.table.Load() }

// Revision returns the revision in force, or 0 if none is known yet.
func (c *Current) Revision() qf.Revision {
	if t := c.Get(); t != nil {
		return t.Configuration.Revision
	}
	return 0
}

// Apply puts a configuration in force if its revision is newer. Encoded is how it
// came from the platform, for peers.
func (c *Current) Apply(configuration *qf.Configuration, encoded []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if configuration.Revision <= c.Revision() {
		return false
	}
	c.table.Store(compile(configuration, encoded))
	return true
}

// Index answers questions about one configuration. It never changes.
type Index struct {
	Configuration *qf.Configuration
	// Encoded is the configuration as it came from the platform.
	Encoded []byte
	// routes holds the routes of each host by their prefixes.
	routes map[string]map[string]*qf.CallerRoute
	keys   map[string]*qf.OrganisationSettings
	// entries holds the entries by name.
	entries map[qf.EntryName]*qf.EntrySettings
}

func compile(c *qf.Configuration, encoded []byte) *Index {
	t := &Index{
		Configuration: c, Encoded: encoded,
		routes: map[string]map[string]*qf.CallerRoute{}, keys: map[string]*qf.OrganisationSettings{},
		entries: map[qf.EntryName]*qf.EntrySettings{},
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		if t.routes[route.Host] == nil {
			t.routes[route.Host] = map[string]*qf.CallerRoute{}
		}
		t.routes[route.Host][route.Prefix] = route
	}
	for i := range c.Entries {
		t.entries[c.Entries[i].Entry] = &c.Entries[i]
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			t.keys[key] = &c.Organisations[i]
		}
	}
	return t
}

// Route returns the route with the longest prefix that begins the path, or nil.
func (t *Index) Route(host, path string) *qf.CallerRoute {
	byPrefix := t.routes[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := byPrefix[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}

// HasOrganisations reports whether requests need a key.
func (t *Index) HasOrganisations() bool { return len(t.Configuration.Organisations) > 0 }

// Organisation returns the holder of a key, or nil.
func (t *Index) Organisation(key string) *qf.OrganisationSettings { return t.keys[key] }

// Entry returns what is told of an entry, or nil.
func (t *Index) Entry(name qf.EntryName) *qf.EntrySettings { return t.entries[name] }

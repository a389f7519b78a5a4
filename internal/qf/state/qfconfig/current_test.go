package qfconfig

import (
	"testing"

	"quetzalfront/internal/qf"
)

func configurationOf(revision qf.Revision, prefixes ...string) *qf.Configuration {
	c := &qf.Configuration{Revision: revision}
	for _, prefix := range prefixes {
		c.Routes = append(c.Routes, qf.CallerRoute{Name: prefix, Host: "a.example", Prefix: prefix})
	}
	return c
}

// TestRoute checks that the longest prefix that ends at a slash decides.
func TestRoute(t *testing.T) {
	var current Current
	current.Apply(configurationOf(1, "/a/", "/a/b/", "/c/"), nil)
	tests := []struct {
		name, host, path, want string
	}{
		{"whole prefix", "a.example", "/a/", "/a/"},
		{"longest wins", "a.example", "/a/b/x", "/a/b/"},
		{"shorter one", "a.example", "/a/bc/x", "/a/"},
		{"no slash at the end", "a.example", "/a", ""},
		{"no route", "a.example", "/d/x", ""},
		{"other host", "b.example", "/a/x", ""},
		{"empty path", "a.example", "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := ""
			if route := current.Get().Route(tt.host, tt.path); route != nil {
				got = route.Prefix
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// TestRevisionNeverFalls checks that an older or equal revision doesn't replace the
// configuration in force.
func TestRevisionNeverFalls(t *testing.T) {
	var current Current
	steps := []struct {
		revision qf.Revision
		applied  bool
	}{{3, true}, {2, false}, {3, false}, {9, true}, {8, false}}
	for _, step := range steps {
		if got := current.Apply(configurationOf(step.revision), nil); got != step.applied {
			t.Errorf("revision %d: applied %v, want %v", step.revision, got, step.applied)
		}
	}
	if current.Revision() != 9 {
		t.Errorf("revision %d is in force, want 9", current.Revision())
	}
}

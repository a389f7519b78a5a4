// Package quetzalfront embeds the fixtures of the two deployments, so that the
// demo needs no files.
package quetzalfront

import "embed"

// Fixtures holds the catalogues and fleets of the two deployments.
//
//go:embed _fixtures/*.toml
var Fixtures embed.FS

// Package quetzalfront embeds the fixtures of the two example deployments, so that the
// demo runs without files.
package quetzalfront

import "embed"

// Fixtures holds the files of _fixtures: the catalogues, fleets and settings of the two
// example deployments.
//
//go:embed _fixtures/*.toml
var Fixtures embed.FS

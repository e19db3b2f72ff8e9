// Package examples holds the settings and configuration records of the two
// example deployments.
package examples

import "embed"

// Files holds the folders "cooperative" and "authority".
//
//go:embed cooperative authority
var Files embed.FS

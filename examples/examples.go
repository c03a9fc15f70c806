// Package examples embeds the example deployments.
package examples

import "embed"

// Files holds dakar.yaml and serra-sul.yaml.
//
//go:embed *.yaml
var Files embed.FS

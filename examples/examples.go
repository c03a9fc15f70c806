// Package examples embeds the resource files of the example deployments. Parsing them and
// starting a deployment is left to package dev.
package examples

import "embed"

// Files contains dakar.yaml and serra-sul.yaml.
//
//go:embed *.yaml
var Files embed.FS

package main

import "slices"

// allRules returns the rules of every list.
func allRules() []rule {
	return slices.Concat(coreRules, lessorRules, platformRules, directoryRules)
}

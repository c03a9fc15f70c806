package main

// rule is an edit that takes one rule out of the code.
type rule struct {
	Name     string   // what the rule guarantees, a short phrase in plain English
	File     string   // path from the module root
	Old, New string   // Old occurs exactly once in File; it is replaced by New
	Packages []string // whose tests must notice, e.g. "./internal/keylease"
}

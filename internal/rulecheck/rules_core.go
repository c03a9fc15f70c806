package main

var coreRules = []rule{}

// Package e2e holds end-to-end tests that build the program and run VMs and stand-ins as
// separate processes. They cover faults that need a process to be killed or frozen; tests
// within one process are in package dev.
package e2e

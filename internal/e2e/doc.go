// Package e2e holds tests that run the system as separate processes.
package e2e

// Package replay makes scripts of requests and faults from a seed, and sends the
// requests and faults of a script or of a recorded trace against a new deployment
// of package dev. A script is a trace that holds only the events which a driver can
// bring about.
package replay

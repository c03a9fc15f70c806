// Package replay generates scripts of requests and faults from a seed, and replays a
// script or a recorded trace against a new deployment of package dev. A script is a
// trace that contains only events that a driver can cause. Checking and measuring the
// recorded result is left to packages check and report.
package replay

// Command fireflyfield routes requests to backend servers that own keys
// exclusively.
package main

func main() {}

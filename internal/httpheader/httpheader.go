// Package httpheader removes the headers that an intermediary must not pass on: those
// of one connection, and those that only the system itself may set. It leaves to its
// users when to remove them.
package httpheader

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the headers that apply to one connection only: those of RFC 9110
// section 7.6.1, and the non-standard Proxy-Connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// internalPrefixes are the prefixes of headers that only VMs and backend servers may
// set.
var internalPrefixes = []string{"Fireflyfield-", "Backend-"}

// RemoveHopByHop deletes the headers that apply to one connection only, including those
// that the Connection header names.
func RemoveHopByHop(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}

// RemoveInternal deletes the headers that VMs and backend servers use among themselves,
// so that a caller can neither set nor see them.
func RemoveInternal(header http.Header) {
	for name := range header {
		for _, prefix := range internalPrefixes {
			if len(name) >= len(prefix) && strings.EqualFold(name[:len(prefix)], prefix) {
				delete(header, name)
			}
		}
	}
}

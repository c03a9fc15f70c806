// Package httpheader removes headers that must not pass an intermediary.
package httpheader

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the headers that RFC 9110 section 7.6.1 binds to one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// internalPrefixes begin headers that only the system and backend servers may set.
var internalPrefixes = []string{"Fireflyfield-", "Backend-"}

// RemoveHopByHop deletes headers that concern one connection only, including
// those that the Connection header names.
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

// RemoveInternal deletes headers that carry meaning inside the system, so that a
// caller can't set them and does not see them.
func RemoveInternal(header http.Header) {
	for name := range header {
		for _, prefix := range internalPrefixes {
			if len(name) >= len(prefix) && strings.EqualFold(name[:len(prefix)], prefix) {
				delete(header, name)
			}
		}
	}
}

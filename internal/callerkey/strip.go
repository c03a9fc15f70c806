package callerkey

import (
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// ErrTokenInTarget is returned for a request with the token in the path or the host,
// from which it can't be removed without changing the meaning of the request.
var ErrTokenInTarget = errors.New("the caller key is part of the request target")

// ErrNoToken is returned for a request without exactly one bearer token.
var ErrNoToken = errors.New("exactly one Authorization header with a bearer token is needed")

// maxDecodings bounds how often a value is percent-decoded in the search for the
// token. A value with deeper nesting is treated as containing the token, because
// decoding it further would cost too much.
const maxDecodings = 4

const bearerScheme = "bearer "

// BearerToken returns the bearer token of the Authorization header. It returns
// ErrNoToken unless there is exactly one such header with a bearer token.
func BearerToken(h http.Header) (string, error) {
	values := h.Values("Authorization")
	if len(values) != 1 || len(values[0]) <= len(bearerScheme) {
		return "", ErrNoToken
	}
	scheme, token := values[0][:len(bearerScheme)], values[0][len(bearerScheme):]
	if !strings.EqualFold(scheme, bearerScheme) || strings.TrimSpace(token) == "" {
		return "", ErrNoToken
	}
	return strings.TrimSpace(token), nil
}

// Strip removes the token, plain or percent-encoded, from the headers, trailers and
// query of the request, and removes user info, fragment and the Authorization
// header. It returns ErrTokenInTarget if the path or host contains the token. It
// doesn't search the body; trailers that arrive after the body need StripHeader.
func Strip(r *http.Request, token string) error {
	if token == "" {
		return ErrNoToken
	}
	for _, target := range []string{r.URL.Path, r.URL.RawPath, r.URL.Opaque, r.URL.Host, r.Host} {
		if containsToken(target, token) {
			return ErrTokenInTarget
		}
	}
	r.URL.User = nil
	r.URL.Fragment = ""
	r.URL.RawFragment = ""
	r.URL.RawQuery = stripQuery(r.URL.RawQuery, token)
	r.RequestURI = ""
	r.Header.Del("Authorization")
	StripHeader(r.Header, token)
	StripHeader(r.Trailer, token)
	return nil
}

// StripHeader removes every header value that contains the token and every field
// whose name contains it.
func StripHeader(h http.Header, token string) {
	for name, values := range h {
		if nameContainsToken(name, token) {
			delete(h, name)
			continue
		}
		kept := make([]string, 0, len(values))
		for _, value := range values {
			if !containsToken(value, token) {
				kept = append(kept, value)
			}
		}
		switch {
		case len(kept) == len(values):
		case len(kept) == 0:
			delete(h, name)
		default:
			h[name] = kept
		}
	}
}

// nameContainsToken ignores case, because the names of header fields are
// canonicalized on receipt.
func nameContainsToken(name, token string) bool {
	return containsToken(strings.ToLower(name), strings.ToLower(token))
}

// stripQuery removes each parameter that contains the token and keeps the others
// byte for byte. It removes the whole query if the remaining parameters, joined,
// still contain the token.
func stripQuery(raw, token string) string {
	if raw == "" || !containsToken(raw, token) {
		return raw
	}
	var kept []string
	for pair := range strings.SplitSeq(raw, "&") {
		if !containsToken(pair, token) {
			kept = append(kept, pair)
		}
	}
	rest := strings.Join(kept, "&")
	if containsToken(rest, token) {
		return ""
	}
	return rest
}

// containsToken reports whether the value contains the token plain or after up to
// maxDecodings-1 percent-decodings, also with "+" read as a space. It reports true for
// a value that can be decoded still further.
func containsToken(value, token string) bool {
	for range maxDecodings {
		if strings.Contains(value, token) || strings.Contains(strings.ReplaceAll(value, "+", " "), token) {
			return true
		}
		decoded := percentDecode(value)
		if decoded == value {
			return false
		}
		value = decoded
	}
	return true
}

// percentDecode decodes valid escapes and leaves malformed ones as they are, whereas
// url.PathUnescape rejects the whole value for one malformed escape.
func percentDecode(value string) string {
	if !strings.Contains(value, "%") {
		return value
	}
	var out strings.Builder
	for i := 0; i < len(value); i++ {
		if value[i] == '%' && i+2 < len(value) && isHex(value[i+1]) && isHex(value[i+2]) {
			out.WriteByte(hexValue(value[i+1])<<4 | hexValue(value[i+2]))
			i += 2
			continue
		}
		out.WriteByte(value[i])
	}
	return out.String()
}

func isHex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

func hexValue(c byte) byte {
	switch {
	case c <= '9':
		return c - '0'
	case c <= 'F':
		return c - 'A' + 10
	default:
		return c - 'a' + 10
	}
}

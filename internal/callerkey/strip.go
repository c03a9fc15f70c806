package callerkey

import (
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// ErrTokenInTarget means that the token is in the path or the host, where it
// can't be removed without changing the meaning of the request.
var ErrTokenInTarget = errors.New("the caller key is part of the request target")

// ErrNoToken means that the request has no single bearer token.
var ErrNoToken = errors.New("exactly one Authorization header with a bearer token is needed")

// maxDecodings bounds nested percent-encoding. A value that is encoded more often
// is removed, since it can't be shown to be free of the token at low cost.
const maxDecodings = 4

const bearerScheme = "bearer "

// BearerToken returns the token of the Authorization header.
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

// Strip removes the token from headers, trailers and query of the request, in
// plain and percent-encoded form. The body is not searched. Trailer values that
// arrive after the body need StripHeader.
func Strip(r *http.Request, token string) error {
	if token == "" {
		return ErrNoToken
	}
	for _, target := range []string{r.URL.Path, r.URL.RawPath, r.URL.Opaque, r.URL.Host, r.Host} {
		if carries(target, token) {
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

// StripHeader removes every value that contains the token and every field whose
// name does.
func StripHeader(h http.Header, token string) {
	for name, values := range h {
		if nameCarries(name, token) {
			delete(h, name)
			continue
		}
		kept := make([]string, 0, len(values))
		for _, value := range values {
			if !carries(value, token) {
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

// nameCarries ignores case, because field names are canonicalized on receipt.
func nameCarries(name, token string) bool {
	return carries(strings.ToLower(name), strings.ToLower(token))
}

// stripQuery drops each parameter that contains the token and keeps the bytes of
// the others.
func stripQuery(raw, token string) string {
	if raw == "" || !carries(raw, token) {
		return raw
	}
	var kept []string
	for pair := range strings.SplitSeq(raw, "&") {
		if !carries(pair, token) {
			kept = append(kept, pair)
		}
	}
	rest := strings.Join(kept, "&")
	if carries(rest, token) {
		return ""
	}
	return rest
}

// carries reports whether the value contains the token after any number of
// percent-decodings up to maxDecodings.
func carries(value, token string) bool {
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

// percentDecode decodes valid escapes and leaves malformed ones, which
// url.PathUnescape would refuse together with the rest of the value.
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

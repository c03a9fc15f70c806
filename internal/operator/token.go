package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"fireflyfield/internal/operator/api"
)

// bearer is the prefix of the Authorization header before the token.
const bearer = "Bearer "

// requireToken passes on requests that carry the token and rejects others. An empty
// token disables the check. Digests are compared in constant time, so that the time
// taken reveals neither the content nor the length of the token.
func requireToken(token string, next http.Handler) http.Handler {
	if token == "" {
		return next
	}
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
		if !ok {
			writeUnauthorized(w, "the header Authorization: Bearer TOKEN is missing")
			return
		}
		got := sha256.Sum256([]byte(given))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			writeUnauthorized(w, "the token is not valid")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func writeUnauthorized(w http.ResponseWriter, detail string) {
	w.Header().Set("WWW-Authenticate", "Bearer")
	writeProblem(w, api.Problem{Type: api.ProblemUnauthorized, Title: "Unauthorized", Status: http.StatusUnauthorized, Detail: detail})
}

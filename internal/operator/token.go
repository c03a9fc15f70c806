package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"fireflyfield/internal/operator/api"
)

const bearer = "Bearer "

// requireToken lets requests pass that carry the token. Digests are compared, so
// that neither the content nor the length of the token shows in the time taken.
func requireToken(token string, next http.Handler) http.Handler {
	if token == "" {
		return next
	}
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
		if !ok {
			unauthorized(w, "the header Authorization: Bearer TOKEN is missing")
			return
		}
		got := sha256.Sum256([]byte(given))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			unauthorized(w, "the token is not valid")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func unauthorized(w http.ResponseWriter, detail string) {
	w.Header().Set("WWW-Authenticate", "Bearer")
	writeProblem(w, api.Problem{Type: api.ProblemUnauthorized, Title: "Unauthorized", Status: http.StatusUnauthorized, Detail: detail})
}

package callerkey

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"fireflyfield/internal/resource"
)

var start = time.Unix(1_700_000_000, 0)

func workspace(name string, policy resource.StaleKeyPolicy, services ...string) resource.Resource {
	return resource.Resource{
		Metadata: resource.Metadata{Name: name},
		Spec:     &resource.WorkspaceSpec{Services: services, OnStaleKeys: policy},
	}
}

func callerKey(name, workspace, token string, services ...string) resource.Resource {
	sum := sha256.Sum256([]byte(token))
	return resource.Resource{
		Metadata: resource.Metadata{Name: name},
		Spec:     &resource.CallerKeySpec{Workspace: workspace, Digest: hex.EncodeToString(sum[:]), Services: services},
	}
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func admit(k *Keyring, token, service string, now time.Time) Verdict {
	_, verdict := k.Admit(token, service, now)
	return verdict
}

// Guards against a key that works for another workspace or an excluded service.
func TestAdmitLimitsServices(t *testing.T) {
	is := is.New(t)
	k := NewKeyring(start)
	k.Update(1, []resource.Resource{
		workspace("w", resource.StaleKeysServe, "rota", "paie"),
		workspace("open", resource.StaleKeysServe),
		callerKey("a", "w", "token-a", "paie", "entretien"),
		callerKey("b", "open", "token-b"),
		callerKey("c", "gone", "token-c"),
		callerKey("d", "w", "twice"), callerKey("e", "open", "twice"),
	})
	is.Equal(admit(k, "token-a", "paie", start), Admitted)
	is.Equal(admit(k, "token-a", "rota", start), ServiceNotAllowed)
	is.Equal(admit(k, "token-a", "entretien", start), ServiceNotAllowed)
	is.Equal(admit(k, "token-b", "entretien", start), Admitted)
	is.Equal(admit(k, "token-c", "rota", start), Unknown)
	is.Equal(admit(k, "twice", "rota", start), Unknown)
	is.Equal(admit(k, "token-x", "rota", start), Unknown)
}

// Guards against streams of a withdrawn or narrowed key that go on, streams of
// other keys that are cut, and a lower revision that brings a key back.
func TestWithdrawalCutsStreams(t *testing.T) {
	is := is.New(t)
	k := NewKeyring(start)
	w := workspace("w", resource.StaleKeysServe)
	k.Update(5, []resource.Resource{w, callerKey("a", "w", "ta"), callerKey("b", "w", "tb"), callerKey("c", "w", "tc")})
	a, _ := k.Admit("ta", "rota", start)
	b, _ := k.Admit("tb", "rota", start)
	c, _ := k.Admit("tc", "rota", start)
	k.Update(6, []resource.Resource{w, callerKey("b", "w", "tb"), callerKey("c", "w", "tc", "paie")})
	is.True(closed(a.Withdrawn))
	is.True(!closed(b.Withdrawn))
	is.True(closed(c.Withdrawn))
	k.Update(5, []resource.Resource{w, callerKey("a", "w", "ta")})
	is.Equal(admit(k, "ta", "rota", start), Unknown)
	k.Update(7, []resource.Resource{callerKey("b", "w", "tb")})
	is.True(closed(b.Withdrawn))
}

// Guards against a workspace with refuse being served by keys that may have been
// withdrawn, and against one with serve being refused.
func TestStaleKeys(t *testing.T) {
	is := is.New(t)
	k := NewKeyring(start)
	k.Update(1, []resource.Resource{
		workspace("strict", resource.StaleKeysRefuse), workspace("lax", resource.StaleKeysServe),
		callerKey("s", "strict", "ts"), callerKey("l", "lax", "tl"),
	})
	is.Equal(admit(k, "ts", "rota", start), Stale)
	k.Confirm(start)
	strict, verdict := k.Admit("ts", "rota", start.Add(StaleAfter))
	is.Equal(verdict, Admitted)
	lax, _ := k.Admit("tl", "rota", start)
	k.Confirm(start.Add(-time.Second)) // a late answer moves nothing back
	k.WithdrawIfStale(start.Add(StaleAfter))
	is.True(!closed(strict.Withdrawn))
	late := start.Add(StaleAfter + 1)
	k.WithdrawIfStale(late)
	is.True(closed(strict.Withdrawn))
	is.True(!closed(lax.Withdrawn))
	is.Equal(admit(k, "ts", "rota", late), Stale)
	is.Equal(admit(k, "tl", "rota", late), Admitted)
	k.Confirm(late)
	again, verdict := k.Admit("ts", "rota", late)
	is.Equal(verdict, Admitted)
	is.True(!closed(again.Withdrawn))
}

// encodeAll percent-encodes each byte.
func encodeAll(s string) string {
	var out strings.Builder
	for _, c := range []byte(s) {
		out.WriteString("%" + hex.EncodeToString([]byte{c}))
	}
	return out.String()
}

// Guards against a backend server that sees the caller key in any form.
func TestStripRemovesToken(t *testing.T) {
	const token = "Key/1+x=="
	forms := []string{
		token, url.QueryEscape(token), url.PathEscape(token), encodeAll(token),
		url.QueryEscape(encodeAll(token)), "%zz" + encodeAll(token), "prefix" + token + "suffix",
	}
	for _, form := range forms {
		is := is.New(t)
		r, err := http.NewRequest("GET", "http://h/rota/7?a=1&b=x&c=%20", nil)
		is.NoErr(err)
		r.URL.RawQuery = "a=1&k=" + form + "&" + form + "=2&c=%20"
		r.Header = http.Header{
			"Authorization": {"Bearer " + token}, "X-Api-Key": {form}, "Cookie": {"k=" + form},
			"Accept": {"text/plain", form}, "X-Key1": {"kept"},
			"Referer": {"http://h/?k=" + form},
		}
		r.Trailer = http.Header{"X-T": {form}}
		is.NoErr(Strip(r, token))
		is.Equal(r.URL.RawQuery, "a=1&c=%20")
		is.Equal(len(r.Header), 2)
		is.Equal(r.Header["Accept"], []string{"text/plain"})
		is.Equal(len(r.Trailer), 0)
	}
}

// Guards against forwarding a request whose path holds the caller key.
func TestStripRefusesTokenInPath(t *testing.T) {
	is := is.New(t)
	r, err := http.NewRequest("GET", "http://h/rota/%73ecret-token", nil)
	is.NoErr(err)
	is.Equal(Strip(r, "secret-token"), ErrTokenInTarget)
}

// Guards against an ambiguous or missing token being taken.
func TestBearerToken(t *testing.T) {
	is := is.New(t)
	token, err := BearerToken(http.Header{"Authorization": {"bearer  abc "}})
	is.NoErr(err)
	is.Equal(token, "abc")
	for _, values := range [][]string{nil, {"Basic abc"}, {"Bearer "}, {"Bearer a", "Bearer b"}} {
		_, err := BearerToken(http.Header{"Authorization": values})
		is.Equal(err, ErrNoToken)
	}
}

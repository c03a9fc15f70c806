package trace

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Hash is an xxhash64, written as 16 hexadecimal digits because JSON readers that
// use floating point would round a number of 64 bits.
type Hash uint64

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%016x", uint64(h)), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	value, err := parseHex64(text)
	*h = Hash(value)
	return err
}

// Unit identifies a slice or a hot key of a service.
type Unit uint64

// hotKeyBit marks the unit of a hot key.
const hotKeyBit = 1 << 63

// HotKeyUnit returns the unit that a key has while it is in the hot key table.
func HotKeyUnit(key Hash) Unit { return Unit(uint64(key) | hotKeyBit) }

// Hot reports whether the unit is a hot key.
func (u Unit) Hot() bool { return u&hotKeyBit != 0 }

// MarshalText implements encoding.TextMarshaler.
func (u Unit) MarshalText() ([]byte, error) { return Hash(u).MarshalText() }

// UnmarshalText implements encoding.TextUnmarshaler.
func (u *Unit) UnmarshalText(text []byte) error { return (*Hash)(u).UnmarshalText(text) }

func parseHex64(text []byte) (uint64, error) {
	if len(text) != 16 {
		return 0, errors.Errorf("%q is not 16 hexadecimal digits", text)
	}
	value, err := strconv.ParseUint(string(text), 16, 64)
	return value, wrapf(err, "decode hash")
}

// Token is a fencing token.
type Token struct {
	Term, Counter uint64
}

// Less reports whether the token is older than other.
func (t Token) Less(other Token) bool {
	if t.Term != other.Term {
		return t.Term < other.Term
	}
	return t.Counter < other.Counter
}

// MarshalText returns the form "term.counter".
func (t Token) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%d.%d", t.Term, t.Counter), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *Token) UnmarshalText(text []byte) error {
	term, counter, found := strings.Cut(string(text), ".")
	if !found {
		return errors.Errorf("%q is not TERM.COUNTER", text)
	}
	var err error
	if t.Term, err = strconv.ParseUint(term, 10, 64); err != nil {
		return errors.Wrap(err, "decode term")
	}
	t.Counter, err = strconv.ParseUint(counter, 10, 64)
	return wrapf(err, "decode counter")
}

// Digest is a SHA-256 in 64 lower-case hexadecimal digits. Other values are
// refused by Writer and Reader, so that a caller key put there by mistake does not
// reach a file.
type Digest string

// DigestOf returns the digest of a secret.
func DigestOf(secret []byte) Digest {
	sum := sha256.Sum256(secret)
	return Digest(hex.EncodeToString(sum[:]))
}

func (d Digest) validate() error {
	decoded, err := hex.DecodeString(string(d))
	if err != nil || len(decoded) != sha256.Size || strings.ToLower(string(d)) != string(d) {
		// The value is left out of the message since it could be a secret.
		return errors.New("digest is not 64 lower-case hexadecimal digits")
	}
	return nil
}

// Outcome says what is known about whether a request ran.
type Outcome string

// The outcomes.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

func (o Outcome) validate() error {
	switch o {
	case Ran, NotRun, Unknown:
		return nil
	default:
		return errors.Errorf("outcome %q is not one of ran, not-run, unknown", o)
	}
}

// Refusal is the reason for an answer that the router made itself, or for a
// backend server's refusal before execution.
type Refusal string

// The refusal reasons.
const (
	RefusedRate                Refusal = "rate"
	RefusedUnauthenticated     Refusal = "unauthenticated"
	RefusedForbidden           Refusal = "forbidden"
	RefusedBadRequest          Refusal = "bad-request"
	RefusedTooLarge            Refusal = "too-large"
	RefusedIdempotencyMismatch Refusal = "idempotency-mismatch"
	RefusedIdempotencyFull     Refusal = "idempotency-full"
	RefusedIdempotencyHolder   Refusal = "idempotency-holder"
	RefusedCallerGone          Refusal = "caller-gone"
	RefusedQueueFull           Refusal = "queue-full"
	RefusedDeadline            Refusal = "deadline"
	RefusedNoOwner             Refusal = "no-owner"
	RefusedUnreachable         Refusal = "unreachable"
	RefusedLoadShed            Refusal = "load-shed"
	RefusedFence               Refusal = "fence"
	RefusedDraining            Refusal = "draining"
	RefusedStopping            Refusal = "stopping"
	RefusedStaleKeys           Refusal = "stale-keys"
	RefusedOther               Refusal = "other"
)

// CausedByCaller reports whether the caller caused the refusal, so that it does not
// count against a service level. A refusal for rate is judged by
// Answer.InsideRate instead.
func (r Refusal) CausedByCaller() bool {
	switch r {
	case RefusedUnauthenticated, RefusedForbidden, RefusedBadRequest, RefusedTooLarge,
		RefusedIdempotencyMismatch, RefusedIdempotencyFull, RefusedCallerGone:
		return true
	default:
		return false
	}
}

// Server identifies a backend server. Names are unique within a service.
type Server struct {
	Service string `json:"service"`
	Name    string `json:"name"`
	Domain  string `json:"domain"`
}

// String returns the form "service/name".
func (s Server) String() string { return s.Service + "/" + s.Name }

func (s Server) validate() error {
	return errors.Join(needName("service", s.Service), needName("server name", s.Name), needName("domain", s.Domain))
}

func needName(field, value string) error {
	if value == "" {
		return errors.Errorf("%s is missing", field)
	}
	return limitName(field, value)
}

func limitName(field, value string) error {
	if len(value) > maxNameBytes {
		return errors.Errorf("%s is longer than %d bytes", field, maxNameBytes)
	}
	return nil
}

// wrapf keeps nil, which errors.Wrap turns into an error.
func wrapf(err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return errors.Wrapf(err, format, args...)
}

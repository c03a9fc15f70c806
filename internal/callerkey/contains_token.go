package callerkey

// ContainsToken reports whether the value contains the token, plain or
// percent-encoded. A value with too many nested encodings to check is reported as
// containing it.
func ContainsToken(value, token string) bool { return containsToken(value, token) }

package callerkey

// Carries reports whether the value contains the token in plain or
// percent-encoded form.
func Carries(value, token string) bool { return carries(value, token) }

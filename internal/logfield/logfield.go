// Package logfield makes fields of structured log lines. It decides how an error is
// written; the other fields are left to zap.
package logfield

import "go.uber.org/zap"

// Error returns the field "error" with the message of err, or no field if err is nil.
// zap.Error would add a second field of several lines for errors with a stack trace.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

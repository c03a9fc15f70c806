// Package logfield makes fields of structured logs.
package logfield

import "go.uber.org/zap"

// Error returns the message of an error as one field. zap.Error adds a second field
// of several lines for errors that can print their causes.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

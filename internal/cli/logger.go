package cli

import (
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// newLogger returns a logger that writes to standard error and never drops lines
// by sampling. Its errors name the flags -log-format and -log-level.
func newLogger(level, format string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	if format != "json" && format != "console" {
		return nil, errors.Errorf("-log-format: %q is neither json nor console", format)
	}
	config.Encoding = format
	config.Sampling = nil
	if err := config.Level.UnmarshalText([]byte(level)); err != nil {
		return nil, errors.Errorf("-log-level: %q is not one of debug, info, warn, error", level)
	}
	return config.Build()
}

package edge

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// logger writes JSON lines to standard output.
func logger() (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.OutputPaths = []string{"stdout"}
	c.Sampling = nil
	c.DisableStacktrace = true
	c.DisableCaller = true
	c.EncoderConfig.TimeKey = "at"
	c.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return c.Build()
}

package bbtapp

import (
	"io"

	"bluebelltray/io/bbtsettings"
	klog "github.com/go-kratos/kratos/v2/log"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger with the configured level and format that writes to
// w.
func NewLogger(s *bbtsettings.Settings, w io.Writer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	enc := zapcore.NewJSONEncoder(cfg)
	if s.Format() == bbtsettings.FormatConsole {
		enc = zapcore.NewConsoleEncoder(cfg)
	}
	core := zapcore.NewCore(enc, zapcore.Lock(zapcore.AddSync(w)), zapLevel(s.Level()))
	return zap.New(core).With(zap.String("host", string(s.Host())))
}

// zapLevel converts a log level setting to zap's level.
func zapLevel(l bbtsettings.Level) zapcore.Level {
	switch l {
	case bbtsettings.LevelDebug:
		return zapcore.DebugLevel
	case bbtsettings.LevelWarn:
		return zapcore.WarnLevel
	case bbtsettings.LevelError:
		return zapcore.ErrorLevel
	default:
		return zapcore.InfoLevel
	}
}

// SilenceKratos suppresses log lines of Kratos below the warning level in the
// whole process, as they report no state changes.
func SilenceKratos() {
	klog.SetLogger(klog.NewFilter(klog.DefaultLogger, klog.FilterLevel(klog.LevelWarn)))
}

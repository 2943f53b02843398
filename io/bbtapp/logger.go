package bbtapp

import (
	"io"

	"bluebelltray/io/bbtsettings"
	klog "github.com/go-kratos/kratos/v2/log"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns the logger that the settings state, writing to w.
func NewLogger(s *bbtsettings.Settings, w io.Writer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	enc := zapcore.NewJSONEncoder(cfg)
	if s.Format() == bbtsettings.FormatConsole {
		enc = zapcore.NewConsoleEncoder(cfg)
	}
	core := zapcore.NewCore(enc, zapcore.Lock(zapcore.AddSync(w)), level(s.Level()))
	return zap.New(core).With(zap.String("host", string(s.Host())))
}

// level returns zap's level of a setting.
func level(l bbtsettings.Level) zapcore.Level {
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

// SilenceFramework keeps the framework's own lines, which are no changes of
// state, from the output of the whole process.
func SilenceFramework() {
	klog.SetLogger(klog.NewFilter(klog.DefaultLogger, klog.FilterLevel(klog.LevelWarn)))
}

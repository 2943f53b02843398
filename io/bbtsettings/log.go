package bbtsettings

// Level is the minimum severity of the log lines that are written.
type Level string

// The log levels, in order of increasing severity.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Format is the encoding of log lines.
type Format string

// The encodings of log lines.
const (
	FormatJSON    Format = "json"
	FormatConsole Format = "console"
)

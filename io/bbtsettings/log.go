package bbtsettings

// Level is the least severe kind of log line that is written.
type Level string

// The levels, least severe first.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Format is the form of log lines.
type Format string

// The forms of log lines.
const (
	FormatJSON    Format = "json"
	FormatConsole Format = "console"
)

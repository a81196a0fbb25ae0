package config

import "log/slog"

// Log says how the log is written. Its zero value holds without the section: text, and no lines for debugging.
type Log struct {
	JSON  bool
	Level slog.Level // lines below it are not written
}

// logLevels are the values of log.level.
var logLevels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}

func decodeLog(section *table) Log {
	return Log{
		JSON:  section.choice("format", "text", "text", "json") == "json",
		Level: logLevels[section.choice("level", "info", "debug", "info", "warn", "error")],
	}
}

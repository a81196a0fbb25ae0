package config

import "log/slog"

// Log configures the log. The zero value is the default: lines of text, from level info on.
type Log struct {
	JSON  bool
	Level slog.Level // minimum level of lines that are written
}

// logLevels maps the values of log.level to levels.
var logLevels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}

// decodeLog decodes the section log.
func decodeLog(section *table) Log {
	return Log{
		JSON:  section.choice("format", "text", "text", "json") == "json",
		Level: logLevels[section.choice("level", "info", "debug", "info", "warn", "error")],
	}
}

package event

import (
	"io"

	"github.com/hashicorp/go-hclog"
)

// Logger writes numbered events. The zero value is not usable; call NewLogger
// or Discard.
type Logger struct {
	sink hclog.Logger
}

// Options selects how events are written.
type Options struct {
	Output io.Writer
	Level  string // trace, debug, info, warn or error
	JSON   bool   // one JSON object a line instead of text
	Name   string // process name in each line
}

// NewLogger returns a Logger that writes to options.Output.
func NewLogger(options Options) *Logger {
	return &Logger{sink: hclog.New(&hclog.LoggerOptions{
		Name:       options.Name,
		Level:      hclog.LevelFromString(options.Level),
		Output:     options.Output,
		JSONFormat: options.JSON,
	})}
}

// Discard returns a Logger that writes nothing.
func Discard() *Logger {
	return &Logger{sink: hclog.NewNullLogger()}
}

// With returns a Logger that adds the given key-value pairs to each event.
func (l *Logger) With(pairs ...any) *Logger {
	return &Logger{sink: l.sink.With(pairs...)}
}

// Emit writes the event with key-value pairs at the level of its definition.
func (l *Logger) Emit(number Number, pairs ...any) {
	definition := number.Definition()
	arguments := append([]any{"event", int(number)}, pairs...)
	switch definition.Level {
	case "error":
		l.sink.Error(definition.Name, arguments...)
	case "warn":
		l.sink.Warn(definition.Name, arguments...)
	default:
		l.sink.Info(definition.Name, arguments...)
	}
}

package event

import (
	"io"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Logger writes numbered events. The zero value is not usable; call NewLogger
// or Discard.
type Logger struct {
	sink  hclog.Logger
	limit *limiter
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
	return &Logger{limit: &limiter{buckets: map[Number]*bucket{}}, sink: hclog.New(&hclog.LoggerOptions{
		Name:       options.Name,
		Level:      hclog.LevelFromString(options.Level),
		Output:     options.Output,
		JSONFormat: options.JSON,
	})}
}

// Discard returns a Logger that writes nothing.
func Discard() *Logger {
	return &Logger{limit: &limiter{buckets: map[Number]*bucket{}}, sink: hclog.NewNullLogger()}
}

// With returns a Logger that adds the given key-value pairs to each event.
func (l *Logger) With(pairs ...any) *Logger {
	return &Logger{limit: l.limit, sink: l.sink.With(pairs...)}
}

// SetLevel changes the level from which on events are written.
func (l *Logger) SetLevel(level string) { l.sink.SetLevel(hclog.LevelFromString(level)) }

// Emit writes the event with key-value pairs at the level of its definition. The
// lines of one event are bounded; a line tells how many before it were left out.
func (l *Logger) Emit(number Number, pairs ...any) {
	allowed, suppressed := l.limit.allow(time.Now(), number)
	if !allowed {
		return
	}
	definition := number.Definition()
	arguments := append([]any{"event", int(number)}, pairs...)
	if suppressed > 0 {
		arguments = append(arguments, "suppressed", suppressed)
	}
	switch definition.Level {
	case "error":
		l.sink.Error(definition.Name, arguments...)
	case "warn":
		l.sink.Warn(definition.Name, arguments...)
	default:
		l.sink.Info(definition.Name, arguments...)
	}
}

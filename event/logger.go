package event

import (
	"io"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Logger writes numbered events and limits the rate of lines of each event. It must be
// created by NewLogger or Discard.
type Logger struct {
	sink  hclog.Logger
	limit *limiter
}

// Options configures a Logger.
type Options struct {
	Output io.Writer
	Level  string // trace, debug, info, warn or error
	JSON   bool   // write one JSON object per line instead of text
	Name   string // logger name, written in each line
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

// SetLevel sets the minimum level of the events that are written.
func (l *Logger) SetLevel(level string) { l.sink.SetLevel(hclog.LevelFromString(level)) }

// Emit writes the event with key-value pairs at the level of its definition, unless the
// rate limit of the event suppresses it. The number of suppressed lines is added to a later
// line.
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

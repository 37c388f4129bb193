package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/loomcleat/loomcleat/result"
)

// UnmarshalYAML decodes a duration with its unit, such as 250ms.
func (d *Duration) UnmarshalYAML(data []byte) error {
	text := strings.Trim(strings.TrimSpace(string(data)), `"'`)
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return &durationError{text: text}
	}
	*d = Duration(parsed)
	return nil
}

// durationError reports a text that is not a valid duration. It keeps the text, since the
// YAML library does not report its position.
type durationError struct {
	text string
}

func (e *durationError) Error() string {
	return fmt.Sprintf("%q is not a duration; allowed: a number with a unit, such as 250ms, 2s or 10m", e.text)
}

// Load returns the defaults of role, overridden by the settings file, and the line of each
// key. It checks syntax, keys and types only; call Check after flags have been applied.
// Without a file, it returns the defaults. It returns a result.SettingsInvalid error if the
// file cannot be read or is invalid.
func Load(role Role, file string) (Settings, Lines, error) {
	loaded := Default(role)
	if file == "" {
		return loaded, Lines{}, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return loaded, Lines{}, result.Wrap(result.SettingsInvalid, err, "reading the settings file")
	}
	lines := findLines(file, data)
	if len(strings.TrimSpace(string(data))) == 0 {
		return loaded, lines, nil
	}
	if err := yaml.UnmarshalWithOptions(data, &loaded, yaml.Strict()); err != nil {
		return loaded, lines, decodeError(file, data, err)
	}
	return loaded, lines, nil
}

// decodeError converts an error of the YAML library into a one-line error with the file, the
// line and, for an unknown key, the allowed keys.
func decodeError(file string, data []byte, err error) error {
	line := 0
	message := err.Error()
	var typed yaml.Error
	if errors.As(err, &typed) {
		message = typed.GetMessage()
		if token := typed.GetToken(); token != nil {
			line = token.Position.Line
		}
	}
	var duration *durationError
	if errors.As(err, &duration) {
		line = lineOf(data, duration.text)
	}
	if strings.HasPrefix(message, "unknown field") {
		message += "; allowed: " + strings.Join(keysOf[Settings](), ", ") +
			"; in routes: " + strings.Join(keysOf[Route](), ", ") +
			"; in retry_budget: " + strings.Join(keysOf[RetryBudget](), ", ") +
			"; in quota: " + strings.Join(keysOf[Quota](), ", ") +
			"; in log: " + strings.Join(keysOf[Log](), ", ")
	}
	return result.New(result.SettingsInvalid, "%s:%d: %s", file, line, message)
}

// lineOf returns the number of the first line that contains text, 0 if there is none.
func lineOf(data []byte, text string) int {
	for i, line := range strings.Split(string(data), "\n") {
		if strings.Contains(line, text) {
			return i + 1
		}
	}
	return 0
}

// Lines holds the line number of each key of a settings file, for error messages.
type Lines struct {
	file  string
	lines map[string]int
}

// At returns "file:line" of a key, or the name of its flag if the key is not in the file.
func (l Lines) At(key string) string {
	if line, ok := l.lines[key]; ok {
		return fmt.Sprintf("%s:%d", l.file, line)
	}
	return "--" + strings.ReplaceAll(key, "_", "-")
}

func findLines(file string, data []byte) Lines {
	found := Lines{file: file, lines: map[string]int{}}
	parsed, err := parser.ParseBytes(data, 0)
	if err != nil {
		return found
	}
	for _, document := range parsed.Docs {
		mapping, ok := document.Body.(*ast.MappingNode)
		if !ok {
			continue
		}
		for _, value := range mapping.Values {
			token := value.Key.GetToken()
			found.lines[token.Value] = token.Position.Line
		}
	}
	return found
}

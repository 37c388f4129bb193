package policy

import (
	"fmt"
	"strconv"
	"time"

	"github.com/loomcleat/loomcleat/result"
)

// Bounds of numeric and duration fields.
const (
	MaximumRetryBudget = 32
	MaximumConcurrency = 10000
	MinimumDeadline    = time.Millisecond
	MaximumDeadline    = 10 * time.Minute
	MaximumQueueTime   = 10 * time.Second
)

// field describes one key of Settings: how it is parsed, formatted, unset, validated
// and inherited.
type field struct {
	name    string
	allowed string // allowed values, for error messages
	parse   func(*Settings, string) error
	show    func(*Settings) (string, bool)
	unset   func(*Settings)
	valid   func(*Settings) bool
	inherit func(into, from *Settings)
}

// pointerField returns the field for a pointer field of Settings, which member returns.
func pointerField[T any](name, allowed string, member func(*Settings) **T, parse func(string) (T, error), show func(T) string, valid func(T) bool) field {
	return field{
		name:    name,
		allowed: allowed,
		parse: func(s *Settings, text string) error {
			value, err := parse(text)
			if err != nil {
				return err
			}
			*member(s) = &value
			return nil
		},
		show: func(s *Settings) (string, bool) {
			value := *member(s)
			if value == nil {
				return "", false
			}
			return show(*value), true
		},
		unset: func(s *Settings) { *member(s) = nil },
		valid: func(s *Settings) bool {
			value := *member(s)
			return value == nil || valid(*value)
		},
		inherit: func(into, from *Settings) {
			if *member(into) == nil {
				*member(into) = *member(from)
			}
		},
	}
}

func parseClass(text string) (Class, error) {
	var class Class
	err := class.UnmarshalText([]byte(text))
	return class, err
}

func parseDuration(text string) (Duration, error) {
	var duration Duration
	err := duration.UnmarshalText([]byte(text))
	return duration, err
}

func parseFloat(text string) (float64, error) { return strconv.ParseFloat(text, 64) }

func showAny[T any](value T) string { return fmt.Sprint(value) }

func showDuration(value Duration) string { return time.Duration(value).String() }

func always[T any](T) bool { return true }

func between[T int | float64 | Duration | Class](low, high T) func(T) bool {
	return func(value T) bool { return value >= low && value <= high }
}

// fields lists the keys of Settings in display order.
var fields = []field{
	pointerField("class", "bulk, default, interactive or critical",
		func(s *Settings) **Class { return &s.Class }, parseClass, showAny[Class], between(Bulk, Critical)),
	pointerField("repeatable", "true or false",
		func(s *Settings) **bool { return &s.Repeatable }, strconv.ParseBool, showAny[bool], always[bool]),
	pointerField("retry_budget", "a whole number from 0 to 32",
		func(s *Settings) **int { return &s.RetryBudget }, strconv.Atoi, showAny[int], between(0, MaximumRetryBudget)),
	pointerField("retry_ratio", "a number from 0 to 1",
		func(s *Settings) **float64 { return &s.RetryRatio }, parseFloat, showAny[float64], between(0.0, 1.0)),
	pointerField("deadline", "a duration from 1ms to 10m",
		func(s *Settings) **Duration { return &s.Deadline }, parseDuration, showDuration, between(Duration(MinimumDeadline), Duration(MaximumDeadline))),
	pointerField("concurrency_min", "a whole number from 1 to 10000",
		func(s *Settings) **int { return &s.ConcurrencyMin }, strconv.Atoi, showAny[int], between(1, MaximumConcurrency)),
	pointerField("concurrency_max", "a whole number from 1 to 10000",
		func(s *Settings) **int { return &s.ConcurrencyMax }, strconv.Atoi, showAny[int], between(1, MaximumConcurrency)),
	pointerField("queue_time", "a duration from 0s to 10s",
		func(s *Settings) **Duration { return &s.QueueTime }, parseDuration, showDuration, between(Duration(0), Duration(MaximumQueueTime))),
}

func findField(name string) (field, error) {
	names := ""
	for i, candidate := range fields {
		if candidate.name == name {
			return candidate, nil
		}
		if i > 0 {
			names += ", "
		}
		names += candidate.name
	}
	return field{}, result.New(result.PolicyInvalid, "unknown key %q; allowed: %s", name, names)
}

// FieldNames returns the keys of Settings in display order.
func FieldNames() []string {
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		names = append(names, f.name)
	}
	return names
}

// Show returns the value of one key as text, and whether the key is known and set.
func (s Settings) Show(name string) (string, bool) {
	f, err := findField(name)
	if err != nil {
		return "", false
	}
	return f.show(&s)
}

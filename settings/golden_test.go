package settings_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/loomcleat/loomcleat/internal/golden"
	"github.com/loomcleat/loomcleat/settings"
)

// TestKeysAndDefaults guards against changes to the keys of the settings file and their
// defaults.
func TestKeysAndDefaults(t *testing.T) {
	for _, role := range []settings.Role{settings.RoleNode, settings.RoleGateway} {
		golden.Text(t, "defaults-"+string(role)+".txt", formatSettings(settings.Default(role)))
	}
}

// TestLoadAllKeys guards against keys that are read with another unit or not at all.
func TestLoadAllKeys(t *testing.T) {
	for _, role := range []settings.Role{settings.RoleNode, settings.RoleGateway} {
		is := is.New(t)
		loaded, lines, err := settings.Load(role, filepath.Join("testdata", "golden", string(role)+".yaml"))
		is.NoErr(err)
		is.NoErr(loaded.Check(lines))
		golden.Text(t, "read-"+string(role)+".txt", formatSettings(loaded))
	}
}

// TestInvalidValues sets each key to a value that is out of range or of another type, and
// guards against accepting it or changing the error text.
func TestInvalidValues(t *testing.T) {
	report := &strings.Builder{}
	for _, role := range []settings.Role{settings.RoleNode, settings.RoleGateway} {
		valid, err := os.ReadFile(filepath.Join("testdata", "golden", string(role)+".yaml"))
		if err != nil {
			t.Fatal(err)
		}
		for _, invalid := range invalidLines(string(role)) {
			fmt.Fprintf(report, "%s: %s\n  %s\n", role, strings.ReplaceAll(invalid, "\n", " "), settingsError(t, role, string(valid), invalid))
		}
	}
	golden.Text(t, "refusals.txt", []byte(report.String()))
}

// invalidLines returns lines that each set one key to an invalid value.
func invalidLines(role string) []string {
	lines := []string{
		"unknown_key: 1", "id: UPPER", "region: UPPER", "zone: UPPER", "listen: nowhere", "control: nowhere", "admin: nowhere",
		"readiness: nowhere", "store_api: other", "store: ftp://x", "machine_list: ftp://x", "seeds: [nowhere]",
		"stop_within: 2h", "announce_time: 2m", "drain_timeout: 2h", "probe_interval: 1ms", "claim_retention: 1ms",
		"claim_replicas: 2", "store_watches: 0", "policy_within: 1ms", "claim_groups: 0", "maximum_claims: 1", "key_revocation: 1s",
		"announce_time: 5", "log:\n  level: loud", "log:\n  format: xml",
		"retry_budget:\n  window: 1ms", "retry_budget:\n  window: 10s\n  ratio: 2", "retry_budget:\n  window: 10s\n  slack: -1",
		"quota:\n  window: 1ms", "quota:\n  overshoot: 2", "quota:\n  slack: -1", "quota:\n  interval: 1ms",
	}
	if role == string(settings.RoleNode) {
		return append(lines, "service: UPPER", "backend: nowhere", "outbound: nowhere", "heartbeats: nowhere",
			"backend_drain: 1ms", "backend_health_path: health", "routes:\n  - service: x")
	}
	return append(lines, "service: x", "backend: 127.0.0.1:1", "routes:\n  - service: UPPER", "routes:\n  - service: x\n    path_prefix: x")
}

// settingsError returns the error text for the settings file valid after the key set in
// invalid has been replaced by it.
func settingsError(t *testing.T, role settings.Role, valid, invalid string) string {
	t.Helper()
	key, _, _ := strings.Cut(invalid, ":")
	kept := []string{}
	dropping := false
	for _, line := range strings.Split(valid, "\n") {
		if !strings.HasPrefix(line, " ") {
			dropping = strings.HasPrefix(line, key+":")
		}
		if !dropping {
			kept = append(kept, line)
		}
	}
	file := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(file, []byte(invalid+"\n"+strings.Join(kept, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	loaded, lines, err := settings.Load(role, file)
	if err == nil {
		err = loaded.Check(lines)
	}
	if err == nil {
		t.Fatalf("invalid setting %s was accepted", invalid)
	}
	return strings.ReplaceAll(err.Error(), filepath.Dir(file)+"/", "")
}

// formatSettings returns the keys of s with their values, in the order of the fields.
func formatSettings(s settings.Settings) []byte {
	list := &strings.Builder{}
	writeKeys(list, "", reflect.ValueOf(s))
	return []byte(list.String())
}

func writeKeys(list *strings.Builder, prefix string, value reflect.Value) {
	for i := range value.NumField() {
		key, field := value.Type().Field(i).Tag.Get("yaml"), value.Field(i)
		switch {
		case key == "-":
		case field.Kind() == reflect.Struct:
			writeKeys(list, prefix+key+".", field)
		case field.Kind() == reflect.Slice:
			fmt.Fprintf(list, "%s%s: %+v\n", prefix, key, formatElements(field))
		default:
			fmt.Fprintf(list, "%s%s: %s %v\n", prefix, key, field.Kind(), valueOf(field))
		}
	}
}

// formatElements returns each element of a list as text.
func formatElements(list reflect.Value) []string {
	elements := []string{}
	for i := range list.Len() {
		text := &strings.Builder{}
		if list.Index(i).Kind() == reflect.Struct {
			writeKeys(text, "", list.Index(i))
		} else {
			fmt.Fprint(text, list.Index(i))
		}
		elements = append(elements, strings.ReplaceAll(strings.TrimSpace(text.String()), "\n", ", "))
	}
	return elements
}

func valueOf(field reflect.Value) any {
	if duration, ok := field.Interface().(settings.Duration); ok {
		return duration.Std()
	}
	return field.Interface()
}

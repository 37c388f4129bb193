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

// TestKeysAndDefaults lists every key of the settings file with its value for an empty
// file.
func TestKeysAndDefaults(t *testing.T) {
	for _, role := range []settings.Role{settings.RoleNode, settings.RoleGateway} {
		golden.Text(t, "defaults-"+string(role)+".txt", listOf(settings.Default(role)))
	}
}

// TestFilesOfOperators: each key is read with its unit.
func TestFilesOfOperators(t *testing.T) {
	for _, role := range []settings.Role{settings.RoleNode, settings.RoleGateway} {
		is := is.New(t)
		loaded, lines, err := settings.Load(role, filepath.Join("testdata", "golden", string(role)+".yaml"))
		is.NoErr(err)
		is.NoErr(loaded.Check(lines))
		golden.Text(t, "read-"+string(role)+".txt", listOf(loaded))
	}
}

// TestWhatIsAllowed sets one key after the other to a value that is out of range, or of
// another type, and lists what the operator is told.
func TestWhatIsAllowed(t *testing.T) {
	told := &strings.Builder{}
	for _, role := range []settings.Role{settings.RoleNode, settings.RoleGateway} {
		valid, err := os.ReadFile(filepath.Join("testdata", "golden", string(role)+".yaml"))
		if err != nil {
			t.Fatal(err)
		}
		for _, wrong := range wrongLines(string(role)) {
			fmt.Fprintf(told, "%s: %s\n  %s\n", role, strings.ReplaceAll(wrong, "\n", " "), refusalOf(t, role, string(valid), wrong))
		}
	}
	golden.Text(t, "refusals.txt", []byte(told.String()))
}

// wrongLines returns a wrong value for each key that has bounds.
func wrongLines(role string) []string {
	lines := []string{
		"unknown_key: 1", "id: UPPER", "region: UPPER", "zone: UPPER", "listen: nowhere", "control: nowhere", "admin: nowhere",
		"readiness: nowhere", "store_api: other", "store: ftp://x", "machine_list: ftp://x", "seeds: [nowhere]",
		"stop_within: 2h", "announce_time: 2m", "drain_timeout: 2h", "probe_interval: 1ms", "claim_retention: 1ms",
		"claim_replicas: 2", "store_watches: 0", "claim_groups: 0", "maximum_claims: 1", "key_revocation: 1s",
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

// refusalOf returns what an operator is told about a file in which a key has been set to
// a wrong value.
func refusalOf(t *testing.T, role settings.Role, valid, wrong string) string {
	t.Helper()
	key, _, _ := strings.Cut(wrong, ":")
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
	if err := os.WriteFile(file, []byte(wrong+"\n"+strings.Join(kept, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	loaded, lines, err := settings.Load(role, file)
	if err == nil {
		err = loaded.Check(lines)
	}
	if err == nil {
		t.Fatalf("%s was accepted", wrong)
	}
	return strings.ReplaceAll(err.Error(), filepath.Dir(file)+"/", "")
}

// listOf lists the keys of settings with their values, in the order of the fields.
func listOf(s settings.Settings) []byte {
	list := &strings.Builder{}
	addKeys(list, "", reflect.ValueOf(s))
	return []byte(list.String())
}

func addKeys(list *strings.Builder, prefix string, value reflect.Value) {
	for i := range value.NumField() {
		key, field := value.Type().Field(i).Tag.Get("yaml"), value.Field(i)
		switch {
		case key == "-":
		case field.Kind() == reflect.Struct:
			addKeys(list, prefix+key+".", field)
		case field.Kind() == reflect.Slice:
			fmt.Fprintf(list, "%s%s: %+v\n", prefix, key, keysOfElements(field))
		default:
			fmt.Fprintf(list, "%s%s: %s %v\n", prefix, key, field.Kind(), textOf(field))
		}
	}
}

// keysOfElements lists the elements of a list.
func keysOfElements(list reflect.Value) []string {
	elements := []string{}
	for i := range list.Len() {
		text := &strings.Builder{}
		if list.Index(i).Kind() == reflect.Struct {
			addKeys(text, "", list.Index(i))
		} else {
			fmt.Fprint(text, list.Index(i))
		}
		elements = append(elements, strings.ReplaceAll(strings.TrimSpace(text.String()), "\n", ", "))
	}
	return elements
}

func textOf(field reflect.Value) any {
	if duration, ok := field.Interface().(settings.Duration); ok {
		return duration.Std()
	}
	return field.Interface()
}

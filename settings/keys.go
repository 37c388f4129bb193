package settings

import (
	"reflect"
	"slices"
)

// noKey is the yaml tag of a field that has no key in the file.
const noKey = "-"

// fieldKeys returns the key of each field of a settings struct, noKey for fields without one.
func fieldKeys[T any]() []string {
	structure := reflect.TypeFor[T]()
	keys := make([]string, structure.NumField())
	for i := range keys {
		keys[i] = structure.Field(i).Tag.Get("yaml")
	}
	return keys
}

// keysOf returns the keys of a settings struct in the order of its fields.
func keysOf[T any]() []string {
	return slices.DeleteFunc(fieldKeys[T](), func(key string) bool { return key == noKey })
}

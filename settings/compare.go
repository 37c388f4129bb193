package settings

import "reflect"

// reloadable are the keys whose changes are in force without a restart.
var reloadable = map[string]bool{"log": true, "seeds": true}

// Compare returns the keys in which two settings differ: those that can be put
// in force at once, and those that need a restart.
func Compare(before, after Settings) (changed, needRestart []string) {
	changed, needRestart = []string{}, []string{}
	old, fresh := reflect.ValueOf(before), reflect.ValueOf(after)
	for i, key := range allKeys() {
		if key == "-" || reflect.DeepEqual(old.Field(i).Interface(), fresh.Field(i).Interface()) {
			continue
		}
		if reloadable[key] {
			changed = append(changed, key)
		} else {
			needRestart = append(needRestart, key)
		}
	}
	return changed, needRestart
}

// allKeys returns the key of each field of Settings, "-" for those without one.
func allKeys() []string {
	structure := reflect.TypeFor[Settings]()
	keys := make([]string, structure.NumField())
	for i := range keys {
		keys[i] = structure.Field(i).Tag.Get("yaml")
	}
	return keys
}

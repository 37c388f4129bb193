package settings

import "reflect"

// reloadable holds the keys whose changes take effect without a restart.
var reloadable = map[string]bool{"log": true, "seeds": true}

// Compare returns the keys whose values differ: those that can be changed while the process
// runs, and those that need a restart.
func Compare(before, after Settings) (changed, needRestart []string) {
	changed, needRestart = []string{}, []string{}
	valuesBefore, valuesAfter := reflect.ValueOf(before), reflect.ValueOf(after)
	for i, key := range fieldKeys[Settings]() {
		isEqual := reflect.DeepEqual(valuesBefore.Field(i).Interface(), valuesAfter.Field(i).Interface())
		if key == noKey || isEqual {
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

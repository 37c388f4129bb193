package golden

import (
	"encoding"
	"fmt"
	"reflect"
	"time"
)

// Filled returns a value in which every exported field, including those of nested values,
// is set. Values are derived from the order of the fields and differ where the type permits.
func Filled[T any]() T {
	var value T
	count := 0
	fill(reflect.ValueOf(&value).Elem(), &count)
	return value
}

// firstTime is the base to which fields of type time.Time add their number in seconds.
var firstTime = time.Date(2026, 1, 2, 3, 4, 0, 0, time.UTC)

// nameCount bounds the values of integer types that are encoded as names, such as the classes
// of the policy: 0 to nameCount-1 are valid for each of them.
const nameCount = 4

// fill sets a value and the values nested in it. count is the number of values set so far.
func fill(value reflect.Value, count *int) {
	instant, isTime := value.Addr().Interface().(*time.Time)
	if isTime || value.Kind() != reflect.Struct {
		*count++
	}
	_, isText := value.Addr().Interface().(encoding.TextUnmarshaler)
	seconds := time.Duration(*count) * time.Second
	switch kind := value.Kind(); {
	case isTime:
		*instant = firstTime.Add(seconds)
	case kind == reflect.Struct:
		for i := range value.NumField() {
			if value.Type().Field(i).IsExported() {
				fill(value.Field(i), count)
			}
		}
	case kind == reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), count)
	case kind == reflect.Slice, kind == reflect.Array:
		if kind == reflect.Slice {
			value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		}
		for i := range value.Len() {
			fill(value.Index(i), count)
		}
	case kind == reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, count)
		fill(element, count)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	case kind == reflect.String:
		value.SetString(fmt.Sprintf("text-%d", *count))
	case kind == reflect.Bool:
		value.SetBool(true)
	case value.CanFloat():
		value.SetFloat(float64(*count) + 0.5)
	case value.CanUint():
		value.SetUint(uint64(*count))
	case value.Type() == reflect.TypeFor[time.Duration](), isText && kind == reflect.Int64:
		value.SetInt(int64(seconds)) // a duration
	case isText:
		value.SetInt(int64(*count % nameCount))
	default:
		value.SetInt(int64(*count)) // panics for kinds that messages do not use
	}
}

package golden

import (
	"fmt"
	"reflect"
	"time"
)

// Filled returns a value in which every exported field, down to the innermost one, has a
// value of its own, which follows from the order of the fields.
func Filled[T any]() T {
	var value T
	filler := &filler{}
	filler.fill(reflect.ValueOf(&value).Elem())
	return value
}

// filler counts the fields that it has set.
type filler struct {
	count int
}

// firstTime is the time from which on fields of type time.Time are set.
var firstTime = time.Date(2026, 1, 2, 3, 4, 0, 0, time.UTC)

// mostOfAName is above the largest number of a type whose values are written as names,
// such as the classes of the policy.
const mostOfAName = 4

func (f *filler) fill(value reflect.Value) {
	if value.Kind() != reflect.Struct || value.Type() == reflect.TypeFor[time.Time]() {
		f.count++
	}
	switch instance := value.Addr().Interface().(type) {
	case *time.Time:
		*instance = firstTime.Add(time.Duration(f.count) * time.Second)
		return
	case *time.Duration:
		*instance = time.Duration(f.count) * time.Second
		return
	}
	switch value.Kind() {
	case reflect.Struct:
		f.fillFields(value)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		f.fill(value.Elem())
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		f.fillElements(value)
	case reflect.Array:
		f.fillElements(value)
	case reflect.Map:
		f.fillMap(value)
	default:
		f.fillScalar(value)
	}
}

func (f *filler) fillFields(value reflect.Value) {
	for i := range value.NumField() {
		if value.Type().Field(i).IsExported() {
			f.fill(value.Field(i))
		}
	}
}

func (f *filler) fillElements(value reflect.Value) {
	for i := range value.Len() {
		f.fill(value.Index(i))
	}
}

func (f *filler) fillMap(value reflect.Value) {
	key := reflect.New(value.Type().Key()).Elem()
	element := reflect.New(value.Type().Elem()).Elem()
	f.fill(key)
	f.fill(element)
	value.Set(reflect.MakeMap(value.Type()))
	value.SetMapIndex(key, element)
}

func (f *filler) fillScalar(value reflect.Value) {
	switch {
	case value.Kind() == reflect.String:
		value.SetString(fmt.Sprintf("text-%d", f.count))
	case value.Kind() == reflect.Bool:
		value.SetBool(true)
	case value.CanFloat():
		value.SetFloat(float64(f.count) + 0.5)
	case value.CanUint():
		value.SetUint(uint64(f.count))
	case value.CanInt():
		value.SetInt(f.number(value.Type()))
	default:
		panic(fmt.Sprintf("golden: a field of type %s cannot be set", value.Type()))
	}
}

// number returns a number for a field of whole numbers. Those that are written as text
// are either names of a few values, or durations.
func (f *filler) number(kind reflect.Type) int64 {
	if _, isText := reflect.New(kind).Interface().(interface{ UnmarshalText([]byte) error }); !isText {
		return int64(f.count)
	}
	if kind.Kind() == reflect.Int64 {
		return int64(time.Duration(f.count) * time.Second)
	}
	return int64(f.count % mostOfAName)
}

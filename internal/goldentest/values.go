package goldentest

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// FormatValue formats a value with everything that it contains. Struct fields are in their order and without names, and
// no Go identifier is in the text, so that renaming identifiers doesn't change it. A number is formatted as a number
// even where its type has a String method.
func FormatValue(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return "nil"
		}
		return FormatValue(v.Elem())
	case reflect.Struct:
		return "(" + joinValues(v.NumField(), v.Field) + ")"
	case reflect.Slice, reflect.Array:
		if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Uint8 {
			return fmt.Sprintf("%q", v.Bytes())
		}
		return "[" + joinValues(v.Len(), v.Index) + "]"
	case reflect.Map:
		return "{" + mapValues(v) + "}"
	default:
		return scalarValue(v)
	}
}

// joinValues formats a number of values with spaces between them. The parameter value returns the text of a value by
// its index.
func joinValues(count int, value func(i int) reflect.Value) string {
	parts := make([]string, count)
	for i := range parts {
		parts[i] = FormatValue(value(i))
	}
	return strings.Join(parts, " ")
}

// mapValues formats the entries of a map as key:value, sorted by their text.
func mapValues(v reflect.Value) string {
	parts := make([]string, 0, v.Len())
	for _, key := range v.MapKeys() {
		parts = append(parts, FormatValue(key)+":"+FormatValue(v.MapIndex(key)))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// scalarValue formats a string, a boolean or a number.
func scalarValue(v reflect.Value) string {
	switch v.Kind() {
	case reflect.String:
		return fmt.Sprintf("%q", v.String())
	case reflect.Bool:
		return fmt.Sprint(v.Bool())
	case reflect.Float32, reflect.Float64:
		return fmt.Sprint(v.Float())
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uint:
		return fmt.Sprint(v.Uint())
	default:
		return fmt.Sprint(v.Int())
	}
}

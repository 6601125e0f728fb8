package goldentest

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// FormatValue formats a value with all that it holds, in the order of its fields and without any name of Go's, so that it is
// the same after a renaming. A number is written as such even where its type has words for it.
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

func joinValues(count int, part func(i int) reflect.Value) string {
	parts := make([]string, count)
	for i := range parts {
		parts[i] = FormatValue(part(i))
	}
	return strings.Join(parts, " ")
}

// mapValues formats the entries of a map, sorted as text.
func mapValues(v reflect.Value) string {
	parts := make([]string, 0, v.Len())
	for _, key := range v.MapKeys() {
		parts = append(parts, FormatValue(key)+":"+FormatValue(v.MapIndex(key)))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

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

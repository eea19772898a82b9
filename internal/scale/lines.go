package scale

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyPosition is the line of a key in a file, and the syntax of its value: text, number, list or other.
type keyPosition struct {
	line int
	kind unstable.Kind
}

// lineOf returns the line of a key such as "load.changes" in a valid TOML text. It returns the line of the key's
// table if the text does not set the key, and 1 if it has no such table.
func lineOf(text []byte, key string) int {
	places := keyPositions(text)
	for {
		if place, ok := places[key]; ok {
			return place.line
		}
		dot := strings.LastIndexByte(key, '.')
		if dot < 0 {
			return 1
		}
		key = key[:dot]
	}
}

// keyPositions returns the position of each key and table, up to the first syntax error.
func keyPositions(text []byte) map[string]keyPosition {
	places := map[string]keyPosition{}
	var parser unstable.Parser
	parser.Reset(text)
	table := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		var parts []string
		place := keyPosition{line: 1, kind: expression.Kind}
		for it := expression.Key(); it.Next(); {
			parts = append(parts, string(it.Node().Data))
			place.line = parser.Shape(it.Node().Raw).Start.Line
		}
		path := strings.Join(parts, ".")
		switch expression.Kind {
		case unstable.Table:
			table = path + "."
		case unstable.KeyValue:
			path, place.kind = table+path, expression.Value().Kind
		}
		places[path] = place
	}
	return places
}

// checkUnits returns an error for the first value that needs a unit and is written as a plain number, which the
// decoder would accept.
func checkUnits(name string, text []byte) error {
	withUnit := unitKeys(reflect.TypeFor[Plan](), "")
	first := keyPosition{}
	var key string
	for path, place := range keyPositions(text) {
		plain := withUnit[path] && (place.kind == unstable.Integer || place.kind == unstable.Float)
		if plain && (key == "" || place.line < first.line) {
			key, first = path, place
		}
	}
	if key == "" {
		return nil
	}
	return fmt.Errorf("%s:%d: %s: is a plain number, want a text with a unit", name, first.line, key)
}

// unitKeys returns the keys of a struct, with those of its nested structs, whose values are written with a unit.
func unitKeys(structure reflect.Type, prefix string) map[string]bool {
	keys := map[string]bool{}
	for i := range structure.NumField() {
		field := structure.Field(i)
		path := prefix + field.Tag.Get("toml")
		switch {
		case reflect.PointerTo(field.Type).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()):
			keys[path] = true
		case field.Type.Kind() == reflect.Struct:
			for key := range unitKeys(field.Type, path+".") {
				keys[key] = true
			}
		}
	}
	return keys
}

package scale

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyPosition is where a key stands in a file, and whether its value is written as text or as a list.
type keyPosition struct {
	line int
	kind unstable.Kind
}

// lineOf gives the line of a key, such as "load.changes", in a text that has been decoded before; of its table where the
// text does not set the key, else 1.
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

// keyPositions finds the place of each key and table, as far as the text can be read.
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

// checkUnits tells of the first value that has to have a unit and is written as a plain number: the decoder would take it.
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
	return fmt.Errorf("%s:%d: %s: a number without its unit", name, first.line, key)
}

// unitKeys finds the keys of a structure whose values are written with a unit.
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

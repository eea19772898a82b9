package scenario

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines maps the path of each key in a file, such as "fault[2].relays", to its line number.
type keyLines map[string]int

func joinKey(key []string) string { return strings.Join(key, ".") }

// parseKeyLines finds the lines of all keys. The text must have been decoded without an error before.
func parseKeyLines(text []byte) keyLines {
	lines, seen := keyLines{}, map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		var key []string
		at := 0
		for it := e.Key(); it.Next(); {
			node := it.Node()
			key = append(key, string(node.Data))
			at = p.Shape(node.Raw).Start.Line
		}
		path := joinKey(key)
		switch e.Kind {
		case unstable.Table:
			table = path
			lines[table] = at
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", path, seen[path])
			seen[path]++
			lines[table] = at
		case unstable.KeyValue:
			if table != "" {
				path = table + "." + path
			}
			lines[path] = at
		}
	}
	return lines
}

// lineOf returns the line of a path, or of the innermost table around it that the file has, or 1.
func (l keyLines) lineOf(path string) int {
	for {
		if at, ok := l[path]; ok {
			return at
		}
		i := strings.LastIndexByte(path, '.')
		if i < 0 {
			return 1
		}
		path = path[:i]
	}
}

// applyDefaults sets the fields of an entry that the file leaves out to their values in base.
func applyDefaults[T any](entry *T, base T, lines keyLines, path string) {
	to, from := reflect.ValueOf(entry).Elem(), reflect.ValueOf(base)
	for i := range to.NumField() {
		if _, set := lines[path+"."+to.Type().Field(i).Tag.Get("toml")]; !set {
			to.Field(i).Set(from.Field(i))
		}
	}
}

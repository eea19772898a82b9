package scenario

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineMap gives the line of each key of a file, by its path, such as "fault[2].relays".
type keyLines map[string]int

func joinKey(key []string) string { return strings.Join(key, ".") }

// linesOf finds the lines of all keys. The text has been decoded without an error before.
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

// of gives the line of a path, else of the table that it is in, else the first.
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

// overlay gives the fields of an entry that the file does not set the values of a default.
func applyDefaults[T any](entry *T, base T, lines keyLines, path string) {
	to, from := reflect.ValueOf(entry).Elem(), reflect.ValueOf(base)
	for i := range to.NumField() {
		if _, set := lines[path+"."+to.Type().Field(i).Tag.Get("toml")]; !set {
			to.Field(i).Set(from.Field(i))
		}
	}
}

package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// table writes aligned columns, which its lines separate by tabs. The first error of a write is kept until flush.
type table struct {
	writer *tabwriter.Writer
	err    error
}

// newTable returns a table that writes to out; flags are those of package tabwriter.
func newTable(out io.Writer, flags uint) *table {
	return &table{writer: tabwriter.NewWriter(out, 0, 4, columnGap, ' ', flags)}
}

// printf adds a part of a line, or several lines.
func (t *table) printf(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.writer, format, args...)
	}
}

// flush writes the table out, and returns the first error of any write.
func (t *table) flush() error {
	if t.err != nil {
		return t.err
	}
	return t.writer.Flush()
}

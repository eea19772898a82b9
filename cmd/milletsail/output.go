package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// table writes lines with aligned columns. Callers separate columns by tabs. The first write error is kept until flush.
type table struct {
	writer *tabwriter.Writer
	err    error
}

// newTable returns a table that writes to out. flags are those of package tabwriter, such as tabwriter.AlignRight.
func newTable(out io.Writer, flags uint) *table {
	return &table{writer: tabwriter.NewWriter(out, 0, 4, columnGap, ' ', flags)}
}

// printf adds formatted text, which may be a part of a line or several lines.
func (t *table) printf(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.writer, format, args...)
	}
}

// flush writes the buffered lines and returns the first write error.
func (t *table) flush() error {
	if t.err != nil {
		return t.err
	}
	return t.writer.Flush()
}

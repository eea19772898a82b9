package endpoints

import "fmt"

// BudgetError reports that persisting a list needs more disk space than the budget of its Store allows.
type BudgetError struct {
	Budget int64 // allowed size of all files of the store, in bytes
	Needed int64 // size of all files including the refused write, in bytes; the whole list may need more
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("endpoint list exceeds its disk budget and is not persisted: at least %d bytes needed, %d bytes allowed",
		e.Needed, e.Budget)
}

// FileError reports that Open could not use a file of a Store, or only the part before a damaged record.
type FileError struct {
	Name string // name of the file in the store's directory
	Err  error  // the cause
}

func (e *FileError) Error() string { return e.Name + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

package main

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
)

// journalTool is what the commands on state directories share.
type journalTool struct {
	readOnly bool // a directory that a running relay owns is read as well
}

func journalCommand() *cobra.Command {
	tool := new(journalTool)
	command := &cobra.Command{Use: "journal", Short: "Look at, verify, repair and convert a relay's folder",
		Long: "Look at, verify, repair and convert a relay's folder ($NODE_STATE). A folder that a running relay owns is refused,\n" +
			"unless with --read-only, where it may change while it is read; convert refuses it in any case."}
	command.PersistentFlags().BoolVar(&tool.readOnly, "read-only", false, "read a folder that a running relay owns")
	command.AddCommand(tool.verifyCommand(), tool.statCommand(), tool.dumpCommand(), tool.repairCommand(), convertCommand())
	return command
}

// requireUnowned returns an error where a running relay owns a directory, unless it is only read.
func (t *journalTool) requireUnowned(dir string) error {
	owned, err := journal.IsOwned(dir)
	if err == nil && owned && !t.readOnly {
		err = fmt.Errorf("a running relay owns %s: stop it, or give --read-only", dir)
	}
	return err
}

func (t *journalTool) summarize(dir string) (*journal.Summary, error) {
	if err := t.requireUnowned(dir); err != nil {
		return nil, err
	}
	return journal.Summarize(dir, clock.Now())
}

func (t *journalTool) verifyCommand() *cobra.Command {
	return &cobra.Command{Use: "verify FOLDER", Short: "Say whether all can be read; exit status 1 where not", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			summary, err := t.summarize(args[0])
			if err != nil {
				return err
			}
			printFindings(command, summary)
			if !summary.Complete {
				return errFailed
			}
			command.Println("whole")
			return nil
		}}
}

// printFindings prints what was read of a directory, and each damage.
func printFindings(command *cobra.Command, summary *journal.Summary) {
	command.Printf("%s: %d records, %d live messages, %d of them in doubt\n", summary.File, summary.Records, summary.Live, summary.Uncertain)
	if summary.Torn > 0 {
		command.Printf("an unfinished record at the end, as a crash leaves it: %d bytes\n", summary.Torn)
	}
	for _, damage := range summary.Damage {
		command.Printf("DAMAGED at %d: %d bytes, %d records missing from sequence %d on, the last of them: %s\n", damage.Offset, damage.Length,
			damage.Missing, damage.FirstSequence, damage.LastRecord)
	}
	for _, name := range summary.SkippedSegments {
		command.Printf("DAMAGED %s: its snapshot is not whole, an older segment is used\n", name)
	}
	if summary.Partial {
		command.Println("DAMAGED: the snapshot is not whole, and there is no older one")
	}
}

func (t *journalTool) statCommand() *cobra.Command {
	return &cobra.Command{Use: "stat FOLDER", Short: "Print what a folder holds, in figures, as JSON", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			summary, err := t.summarize(args[0])
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(command.OutOrStdout())
			encoder.SetIndent("", "  ")
			return encoder.Encode(summary)
		}}
}

func (t *journalTool) dumpCommand() *cobra.Command {
	var bodies bool
	dump := &cobra.Command{Use: "dump FOLDER", Short: "Print the live messages, a line of JSON each", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if err := t.requireUnowned(args[0]); err != nil {
				return err
			}
			return journal.Dump(args[0], command.OutOrStdout(), bodies)
		}}
	dump.Flags().BoolVar(&bodies, "bodies", false, "with the bodies, in Base64")
	return dump
}

func (t *journalTool) repairCommand() *cobra.Command {
	var into string
	repair := &cobra.Command{Use: "repair FOLDER --into OTHER", Short: "Write what can be read into another folder", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if into == "" {
				return errors.New("--into is missing: a repair goes into another folder")
			}
			if err := t.requireUnowned(args[0]); err != nil {
				return err
			}
			report, err := journal.Repair(args[0], into)
			if err != nil {
				return err
			}
			command.Printf("%d records read, %d damaged ranges left behind\n", report.Records, len(report.Damage))
			return nil
		}}
	repair.Flags().StringVar(&into, "into", "", "`folder` to write, empty or not there yet")
	return repair
}

func convertCommand() *cobra.Command {
	var format int
	convert := &cobra.Command{Use: "convert FOLDER --to FORMAT", Short: "Give a folder another form, for a program of before or after", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			owner, err := journal.AcquireOwnership(args[0])
			if owned := new(journal.OwnedError); errors.As(err, &owned) {
				return fmt.Errorf("a running relay owns %s: stop it first", args[0])
			}
			if err != nil {
				return err
			}
			defer owner.Release()
			report, err := journal.Convert(args[0], format)
			if err != nil {
				return err
			}
			command.Printf("format %d carried over to %d, %d records read\n", report.Format, format, report.Records)
			if !report.Complete() {
				return errFailed
			}
			return nil
		}}
	convert.Flags().IntVar(&format, "to", journal.Format, "the form to write")
	return convert
}

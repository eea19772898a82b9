package main

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
)

// journalTool holds the flags that the commands on state directories share.
type journalTool struct {
	readOnly bool // whether a directory that a running relay owns may be read
}

func journalCommand() *cobra.Command {
	tool := new(journalTool)
	command := &cobra.Command{Use: "journal", Short: "Inspect, verify, repair and convert the state directory of a relay",
		Long: "Inspect, verify, repair and convert the state directory of a relay ($NODE_STATE). A directory that a running relay owns\n" +
			"is rejected, unless --read-only is set: it may then change while it is read. convert rejects it in any case."}
	command.PersistentFlags().BoolVar(&tool.readOnly, "read-only", false, "read a directory even if a running relay owns it")
	command.AddCommand(tool.verifyCommand(), tool.statCommand(), tool.dumpCommand(), tool.repairCommand(), convertCommand())
	return command
}

// requireUnowned returns an error if a running relay owns the directory, unless --read-only is set.
func (t *journalTool) requireUnowned(dir string) error {
	owned, err := journal.IsOwned(dir)
	if err == nil && owned && !t.readOnly {
		err = fmt.Errorf("a running relay owns %s: stop it, or set --read-only", dir)
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
	return &cobra.Command{Use: "verify FOLDER", Short: "Check whether a directory can be read completely; exit status 1 if not",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			summary, err := t.summarize(args[0])
			if err != nil {
				return err
			}
			printFindings(command, summary)
			if !summary.Complete {
				return errProblemFound
			}
			command.Println("whole")
			return nil
		}}
}

// printFindings prints the numbers of records and messages in a directory, and each damage.
func printFindings(command *cobra.Command, summary *journal.Summary) {
	command.Printf("%s: %d records, %d live messages, %d of them in doubt\n", summary.File, summary.Records, summary.Live, summary.Uncertain)
	if summary.Torn > 0 {
		command.Printf("incomplete record of %d bytes at the end, left by a crash\n", summary.Torn)
	}
	for _, damage := range summary.Damage {
		command.Printf("DAMAGED at offset %d: %d bytes; %d records missing, from sequence %d on; last missing record: %s\n", damage.Offset, damage.Length,
			damage.Missing, damage.FirstSequence, damage.LastRecord)
	}
	for _, name := range summary.SkippedSegments {
		command.Printf("DAMAGED %s: the snapshot is incomplete, an older segment is used\n", name)
	}
	if summary.Partial {
		command.Println("DAMAGED: the snapshot is incomplete, and there is no older one")
	}
}

func (t *journalTool) statCommand() *cobra.Command {
	return &cobra.Command{Use: "stat FOLDER", Short: "Print statistics of a directory as JSON", Args: cobra.ExactArgs(1),
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
	dump := &cobra.Command{Use: "dump FOLDER", Short: "Print the live messages, each as a line of JSON", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if err := t.requireUnowned(args[0]); err != nil {
				return err
			}
			return journal.Dump(args[0], command.OutOrStdout(), bodies)
		}}
	dump.Flags().BoolVar(&bodies, "bodies", false, "include the message bodies, in Base64")
	return dump
}

func (t *journalTool) repairCommand() *cobra.Command {
	var into string
	repair := &cobra.Command{Use: "repair FOLDER --into OTHER", Short: "Copy the readable records to another directory", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if into == "" {
				return errors.New("--into is missing: a repair writes to another directory")
			}
			if err := t.requireUnowned(args[0]); err != nil {
				return err
			}
			report, err := journal.Repair(args[0], into)
			if err != nil {
				return err
			}
			command.Printf("%d records copied, %d damaged ranges skipped\n", report.Records, len(report.Damage))
			return nil
		}}
	repair.Flags().StringVar(&into, "into", "", "`folder` to write to, which has to be empty or not to exist")
	return repair
}

func convertCommand() *cobra.Command {
	var format int
	convert := &cobra.Command{Use: "convert FOLDER --to FORMAT", Short: "Convert a directory to another journal format, for an older or newer relay",
		Args: cobra.ExactArgs(1),
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
			command.Printf("converted from format %d to %d, %d records read\n", report.Format, format, report.Records)
			if !report.Complete() {
				return errProblemFound
			}
			return nil
		}}
	convert.Flags().IntVar(&format, "to", journal.Format, "the journal format to write")
	return convert
}

package main

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"milletsail/internal/clock"
	"milletsail/internal/journal"
)

func journalCommand() *cobra.Command {
	var readOnly bool
	c := &cobra.Command{Use: "journal", Short: "Look at, verify, repair and convert a relay's folder",
		Long: "Look at, verify, repair and convert a relay's folder ($NODE_STATE). A folder that a running relay owns is refused,\n" +
			"unless with --read-only, where it may change while it is read; convert refuses it in any case."}
	c.PersistentFlags().BoolVar(&readOnly, "read-only", false, "read a folder that a running relay owns")
	// free refuses a folder that a relay owns.
	free := func(dir string) error {
		owned, err := journal.IsOwned(dir)
		if err == nil && owned && !readOnly {
			err = fmt.Errorf("a running relay owns %s: stop it, or give --read-only", dir)
		}
		return err
	}
	stat := func(dir string) (*journal.Summary, error) {
		if err := free(dir); err != nil {
			return nil, err
		}
		return journal.Summarize(dir, clock.Now())
	}
	c.AddCommand(&cobra.Command{Use: "verify FOLDER", Short: "Say whether all can be read; exit status 1 where not", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := stat(args[0])
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			fmt.Fprintf(out, "%s: %d records, %d live messages, %d of them in doubt\n", s.File, s.Records, s.Live, s.Uncertain)
			if s.Torn > 0 {
				fmt.Fprintf(out, "an unfinished record at the end, as a crash leaves it: %d bytes\n", s.Torn)
			}
			for _, d := range s.Damage {
				fmt.Fprintf(out, "DAMAGED at %d: %d bytes, %d records missing from sequence %d on, the last of them: %s\n", d.Offset, d.Length, d.Missing, d.FirstSequence, d.LastRecord)
			}
			for _, name := range s.SkippedSegments {
				fmt.Fprintf(out, "DAMAGED %s: its snapshot is not whole, an older segment is used\n", name)
			}
			if s.Partial {
				fmt.Fprintln(out, "DAMAGED: the snapshot is not whole, and there is no older one")
			}
			if !s.Complete {
				return exit(broken)
			}
			fmt.Fprintln(out, "whole")
			return nil
		}})
	c.AddCommand(&cobra.Command{Use: "stat FOLDER", Short: "Print what a folder holds, in figures, as JSON", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := stat(args[0])
			if err != nil {
				return err
			}
			out := json.NewEncoder(c.OutOrStdout())
			out.SetIndent("", "  ")
			return out.Encode(s)
		}})
	var bodies bool
	dump := &cobra.Command{Use: "dump FOLDER", Short: "Print the live messages, a line of JSON each", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := free(args[0]); err != nil {
				return err
			}
			return journal.Dump(args[0], c.OutOrStdout(), bodies)
		}}
	dump.Flags().BoolVar(&bodies, "bodies", false, "with the bodies, in Base64")
	c.AddCommand(dump)
	var into string
	repair := &cobra.Command{Use: "repair FOLDER --into OTHER", Short: "Write what can be read into another folder", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if into == "" {
				return errors.New("--into is missing: a repair goes into another folder")
			}
			if err := free(args[0]); err != nil {
				return err
			}
			r, err := journal.Repair(args[0], into)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%d records read, %d damaged ranges left behind\n", r.Records, len(r.Damage))
			return nil
		}}
	repair.Flags().StringVar(&into, "into", "", "`folder` to write, empty or not there yet")
	c.AddCommand(repair)
	var to int
	convert := &cobra.Command{Use: "convert FOLDER --to FORMAT", Short: "Give a folder another form, for a program of before or after", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			owner, err := journal.AcquireOwnership(args[0])
			if owned := new(journal.OwnedError); errors.As(err, &owned) {
				return fmt.Errorf("a running relay owns %s: stop it first", args[0])
			}
			if err != nil {
				return err
			}
			defer owner.Release()
			r, err := journal.Convert(args[0], to)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "format %d carried over to %d, %d records read\n", r.Format, to, r.Records)
			if !r.Complete() {
				return exit(broken)
			}
			return nil
		}}
	convert.Flags().IntVar(&to, "to", journal.Format, "the form to write")
	c.AddCommand(convert)
	return c
}

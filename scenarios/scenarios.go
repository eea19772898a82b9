// Package scenarios holds the scenarios that come with the program; internal/lab/scenario reads them.
package scenarios

import (
	"embed"
	"strings"
)

//go:embed *.toml
var files embed.FS

// Get gives a scenario's text by its name, with or without ".toml".
func Get(name string) ([]byte, error) {
	return files.ReadFile(strings.TrimSuffix(name, ".toml") + ".toml")
}

//go:embed campaigns/*.toml
var campaigns embed.FS

// Campaign gives a campaign's text by its name, with or without ".toml".
func Campaign(name string) ([]byte, error) {
	return campaigns.ReadFile("campaigns/" + strings.TrimSuffix(name, ".toml") + ".toml")
}

// Names lists the scenarios.
func Names() []string { return namesIn(files, ".") }

// namesIn lists the files of an embedded folder, without their ending.
func namesIn(from embed.FS, dir string) (all []string) {
	entries, err := from.ReadDir(dir)
	if err != nil {
		panic(err) // the folder is part of the program
	}
	for _, e := range entries {
		all = append(all, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return all
}

//go:embed scale/*.toml
var scale embed.FS

// Scale gives the text of a plan of a scale run by its name, with or without ".toml".
func Scale(name string) ([]byte, error) {
	return scale.ReadFile("scale/" + strings.TrimSuffix(name, ".toml") + ".toml")
}

// ScaleNames lists the plans of scale runs.
func ScaleNames() []string { return namesIn(scale, "scale") }

// Package scenarios embeds the files that come with the program: scenarios, campaigns, and plans of scale runs. Packages
// internal/lab/scenario, internal/lab/campaign and internal/scale parse them.
package scenarios

import (
	"embed"
	"strings"
)

//go:embed *.toml
var files embed.FS

// Get returns the text of the scenario with a name, which may end in ".toml".
func Get(name string) ([]byte, error) {
	return files.ReadFile(strings.TrimSuffix(name, ".toml") + ".toml")
}

//go:embed campaigns/*.toml
var campaigns embed.FS

// Campaign returns the text of the campaign with a name, which may end in ".toml".
func Campaign(name string) ([]byte, error) {
	return campaigns.ReadFile("campaigns/" + strings.TrimSuffix(name, ".toml") + ".toml")
}

// Names returns the names of the scenarios.
func Names() []string { return namesIn(files, ".") }

// namesIn returns the names of the files in an embedded directory, without ".toml".
func namesIn(from embed.FS, dir string) (all []string) {
	entries, err := from.ReadDir(dir)
	if err != nil {
		panic(err) // can't happen: the directory is embedded
	}
	for _, e := range entries {
		all = append(all, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return all
}

//go:embed scale/*.toml
var scale embed.FS

// Scale returns the text of the scale-run plan with a name, which may end in ".toml".
func Scale(name string) ([]byte, error) {
	return scale.ReadFile("scale/" + strings.TrimSuffix(name, ".toml") + ".toml")
}

// ScaleNames returns the names of the plans of scale runs.
func ScaleNames() []string { return namesIn(scale, "scale") }

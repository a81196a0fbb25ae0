package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"valvecove/internal/testbed/experiment"
	"valvecove/internal/testbed/report"
)

// outputFlags select where the report of a run is written.
type outputFlags struct {
	JSON   string `name:"json" help:"Write all figures as JSON to a file, or to standard output for -, which then gets nothing else." placeholder:"FILE" optional:""`
	Report string `name:"report" help:"Write the report into this folder: index.html (which can be read offline), figures.json and scenario.toml." placeholder:"DIR" type:"path"`
}

// writeResult writes the report of a run: the folder, the JSON, and the page on standard output.
func (o *outputFlags) writeResult(result *experiment.RunResult, streams *standardStreams) error {
	if o.Report != "" {
		if err := saveReport(o.Report, &result.Document); err != nil {
			return err
		}
	}
	if o.JSON != "" {
		if err := saveJSON(o.JSON, result.Document, streams); err != nil {
			return err
		}
	}
	if o.JSON == "-" {
		return nil
	}
	document := &result.Document
	if err := report.WritePage(streams.stdout, result.Result(), document.Verdict, document.Expectations); err != nil {
		return err
	}
	writeStarvation(streams.stdout, result)
	writeExplanations(streams.stdout, result)
	if o.Report != "" {
		fmt.Fprintf(streams.stdout, "report: %s\n", filepath.Join(o.Report, "index.html"))
	}
	return nil
}

// saveReport writes the three files of a report's folder.
func saveReport(dir string, document *report.Document) error {
	files := []struct {
		name  string
		write func(w io.Writer) error
	}{
		{"index.html", func(w io.Writer) error { return report.WriteHTML(w, *document) }},
		{"figures.json", func(w io.Writer) error { return report.WriteJSON(w, *document) }},
		{"scenario.toml", func(w io.Writer) error { _, err := io.WriteString(w, document.Scenario); return err }},
	}
	for _, file := range files {
		if err := saveFile(dir, file.name, file.write); err != nil {
			return err
		}
	}
	return nil
}

// writeStarvation writes the findings of the starvation checker, if the run had one.
func writeStarvation(w io.Writer, result *experiment.RunResult) {
	verdict := result.Starvation
	if verdict == nil {
		return
	}
	fmt.Fprintf(w, "starvation: %v\n", verdict)
	for _, finding := range verdict.Findings {
		fmt.Fprintf(w, "  %9.3f  %s\n", finding.At.Seconds(), finding.Text)
	}
}

// maxExplanations is how many explanations are shown on the terminal; the report has all that the invariant checker kept.
const maxExplanations = 3

// writeExplanations writes the full explanations of the first violations. It shows the earliest violation of each rule
// before the second one of any rule.
func writeExplanations(w io.Writer, result *experiment.RunResult) {
	shownByRule := map[string]int{}
	shown := 0
	for round := 0; round < maxExplanations && shown < maxExplanations; round++ {
		for _, violation := range result.Verdict.Violations {
			if shownByRule[violation.Rule] == round && shown < maxExplanations {
				shownByRule[violation.Rule]++
				shown++
				fmt.Fprintf(w, "\n%v\n", violation)
			}
		}
	}
	if more := result.Violations() - shown; shown > 0 && more > 0 {
		fmt.Fprintf(w, "\n… and %d more; --json and --report have the explanations of the first of each rule\n", more)
	}
}

// verdictError returns the exit code of a run as an error; nil if it was as expected.
func verdictError(result *experiment.RunResult) error {
	switch {
	case result.InvalidReason() != "":
		return exitError(exitInvalid)
	case result.Violations() > 0 || !result.MeetsExpectations():
		return exitError(exitViolation)
	}
	return nil
}

// saveFile writes a file in a folder, which it creates if it doesn't exist.
func saveFile(dir, name string, write func(w io.Writer) error) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(dir, name))
	if err != nil {
		return err
	}
	err = write(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// saveJSON writes a value to a file, or to standard output for -.
func saveJSON(path string, value any, streams *standardStreams) error {
	if path == "-" {
		return report.WriteJSON(streams.stdout, value)
	}
	return saveFile(filepath.Dir(path), filepath.Base(path), func(w io.Writer) error { return report.WriteJSON(w, value) })
}

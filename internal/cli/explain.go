package cli

import (
	"os"

	"github.com/loomcleat/loomcleat/internal/explain"
	"github.com/loomcleat/loomcleat/result"
)

type explainCommand struct {
	Request string   `arg:"" help:"The name that the caller gave the request."`
	Logs    []string `arg:"" optional:"" help:"Logs in JSON of the processes, one or many in a file. Default: standard input." type:"existingfile"`
	Output  string   `help:"text or json." enum:"text,json" default:"text"`
}

func (c *explainCommand) Run(output *streams) error {
	records, err := c.read()
	if err != nil {
		return err
	}
	report, err := explain.NewReport(records, c.Request)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(output.out, report)
	}
	report.Print(output.out)
	return nil
}

func (c *explainCommand) read() (records []explain.Record, err error) {
	if len(c.Logs) == 0 {
		return explain.Append(nil, "standard-input", os.Stdin)
	}
	for _, name := range c.Logs {
		if records, err = appendLog(records, name); err != nil {
			return nil, err
		}
	}
	return records, nil
}

func appendLog(records []explain.Record, name string) ([]explain.Record, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, result.Wrap(result.NotFound, err, "opening log %s", name)
	}
	defer file.Close()
	return explain.Append(records, name, file)
}

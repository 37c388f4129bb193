package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/loomcleat/loomcleat/policy"
	"github.com/loomcleat/loomcleat/policy/editor"
	"github.com/loomcleat/loomcleat/result"
	"github.com/loomcleat/loomcleat/store/consulkv"
)

type configCommand struct {
	Get      configGet      `cmd:"" help:"Show the entries of the tree as they are set."`
	Set      configSet      `cmd:"" help:"Set keys of one entry."`
	Unset    configUnset    `cmd:"" help:"Remove keys of one entry, or the whole entry."`
	Resolve  configResolve  `cmd:"" help:"Show what is in force for one call after inheritance."`
	History  configHistory  `cmd:"" help:"Show the latest edits."`
	Validate configValidate `cmd:"" help:"Check a policy document in a file; nothing is written."`
}

// storeFlags are the flags of commands that access the store.
type storeFlags struct {
	Store   string        `help:"Base URL of the key-value service." required:"" env:"LOOMCLEAT_STORE"`
	Timeout time.Duration `help:"Time for the whole command." default:"10s"`
	Output  string        `help:"text or json." enum:"text,json" default:"text"`
}

func (f *storeFlags) open() (*consulkv.Client, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	return consulkv.NewClient(consulkv.Config{BaseURL: f.Store}), ctx, cancel
}

func (f *storeFlags) read() (*policy.Document, error) {
	client, ctx, cancel := f.open()
	defer cancel()
	defer client.Close()
	document, _, err := editor.Read(ctx, client)
	return document, err
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

type configGet struct {
	storeFlags
	Path string `arg:"" optional:"" help:"Show this entry only."`
}

func (c *configGet) Run(output *streams) error {
	document, err := c.read()
	if err != nil {
		return err
	}
	if c.Path != "" {
		entry, exists := document.Entries[c.Path]
		if !exists {
			return result.New(result.NotFound, "there is no entry %q", c.Path)
		}
		document.Entries = map[string]policy.Settings{c.Path: entry}
	}
	document.History = nil
	if c.Output == "json" {
		return printJSON(output.out, document)
	}
	fmt.Fprintf(output.out, "revision %d\n", document.Revision)
	for _, path := range document.Paths() {
		fmt.Fprintf(output.out, "%s\n", path)
		for _, key := range policy.FieldNames() {
			if value, set := document.Entries[path].Show(key); set {
				fmt.Fprintf(output.out, "  %s=%s\n", key, value)
			}
		}
	}
	return nil
}

type configResolve struct {
	storeFlags
	Service string `arg:"" help:"Service."`
	Method  string `arg:"" help:"Method."`
	Path    string `arg:"" help:"Path of the call."`
}

func (c *configResolve) Run(output *streams) error {
	document, err := c.read()
	if err != nil {
		return err
	}
	resolved := policy.NewIndex(document).Resolve(c.Service, c.Method, c.Path)
	if c.Output == "json" {
		return printJSON(output.out, resolved)
	}
	fmt.Fprintf(output.out, "from %s\n", resolved.Path)
	for _, value := range resolved.Values() {
		fmt.Fprintf(output.out, "  %s=%s\n", value.Key, value.Value)
	}
	return nil
}

type configHistory struct {
	storeFlags
	Limit int `help:"Number of edits." default:"20"`
}

func (c *configHistory) Run(output *streams) error {
	document, err := c.read()
	if err != nil {
		return err
	}
	edits := document.History
	if len(edits) > c.Limit {
		edits = edits[len(edits)-c.Limit:]
	}
	if c.Output == "json" {
		return printJSON(output.out, edits)
	}
	table := tabwriter.NewWriter(output.out, 0, 4, 2, ' ', 0)
	for _, edit := range edits {
		for _, change := range edit.Changes {
			text := change.Key + "=" + change.Value
			if change.Unset {
				text = "unset " + change.Key
			}
			fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", edit.Revision, edit.Time.Format(time.RFC3339), edit.Author, change.Path, text)
		}
	}
	return table.Flush()
}

type configValidate struct {
	File string `arg:"" help:"JSON file with a policy document, as printed by config get --output json." type:"existingfile"`
}

func (c *configValidate) Run(output *streams) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return result.Wrap(result.UsageInvalid, err, "reading the policy document")
	}
	document, err := policy.Decode(data)
	if err != nil {
		return err
	}
	fmt.Fprintf(output.out, "the document is valid: %d entries, revision %d\n", len(document.Entries), document.Revision)
	return nil
}

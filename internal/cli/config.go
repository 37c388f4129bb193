package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
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

// storeFlags are the flags of commands that talk to the store.
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

// printJSON writes a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

type configGet struct {
	storeFlags
	Path string `arg:"" optional:"" help:"Show this entry only."`
}

// Run shows entries.
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

// editFlags are the flags of commands that edit.
type editFlags struct {
	storeFlags
	Author string        `help:"Name recorded with the edit. Default: the user's name."`
	DryRun bool          `help:"Check and show the differences; write nothing."`
	Node   string        `help:"Control address of any process: wait until all members have the edit in force."`
	Wait   time.Duration `help:"How long to wait for that." default:"5s"`
}

func (f *editFlags) author() string {
	if f.Author != "" {
		return f.Author
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}

// editOutcome is what an edit prints as JSON.
type editOutcome struct {
	Revision    uint64       `json:"revision"`
	Written     bool         `json:"written"`
	Differences []difference `json:"differences"`
	InForce     int          `json:"in_force"` // members that have it, with --node
	Members     int          `json:"members"`
}

// apply makes an edit and reports it.
func (f *editFlags) apply(output *streams, changes []policy.Change) error {
	client, ctx, cancel := f.open()
	defer cancel()
	defer client.Close()
	before, _, err := editor.Read(ctx, client)
	if err != nil {
		return err
	}
	after, err := before.Apply("dry-run", f.author(), time.Now(), changes)
	if err != nil {
		return err
	}
	outcome := editOutcome{Revision: before.Revision}
	if !f.DryRun {
		if after, err = editor.New(client, f.author()).Apply(ctx, changes); err != nil {
			return err
		}
		outcome.Revision, outcome.Written = after.Revision, true
	}
	outcome.Differences = differences(before, after)
	if f.Node != "" && outcome.Written {
		outcome.InForce, outcome.Members = waitInForce(f.Node, after.Revision, f.Wait)
	}
	return f.print(output, outcome)
}

func (f *editFlags) print(output *streams, outcome editOutcome) error {
	if f.Output == "json" {
		return printJSON(output.out, outcome)
	}
	for _, d := range outcome.Differences {
		fmt.Fprintf(output.out, "%s: %s %s -> %s\n", d.Path, d.Key, d.Before, d.After)
	}
	if !outcome.Written {
		fmt.Fprintln(output.out, "nothing was written")
		return nil
	}
	fmt.Fprintf(output.out, "revision %d is accepted\n", outcome.Revision)
	if outcome.Members > 0 {
		fmt.Fprintf(output.out, "in force in %d of %d processes\n", outcome.InForce, outcome.Members)
	}
	return nil
}

// difference is one value that resolves differently after an edit.
type difference struct {
	Path   string `json:"path"`
	Key    string `json:"key"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// differences lists what resolves differently for each entry.
func differences(before, after *policy.Document) []difference {
	oldIndex, newIndex := policy.NewIndex(before), policy.NewIndex(after)
	paths := map[string]bool{}
	found := []difference{}
	for _, path := range append(before.Paths(), after.Paths()...) {
		if paths[path] {
			continue
		}
		paths[path] = true
		oldValues, newValues := oldIndex.Entry(path).Values(), newIndex.Entry(path).Values()
		for i := range oldValues {
			if oldValues[i].Value != newValues[i].Value {
				found = append(found, difference{path, oldValues[i].Key, oldValues[i].Value, newValues[i].Value})
			}
		}
	}
	return found
}

type configSet struct {
	editFlags
	Path   string   `arg:"" help:"Entry: /, team, team/family, team/family/service, or 'team/family/service METHOD /path'."`
	Values []string `arg:"" help:"key=value, for example class=critical or deadline=2s."`
}

// Run sets keys.
func (c *configSet) Run(output *streams) error {
	changes := []policy.Change{}
	for _, pair := range c.Values {
		key, value, found := strings.Cut(pair, "=")
		if !found {
			return result.New(result.UsageInvalid, "%q must have the form key=value", pair)
		}
		changes = append(changes, policy.Change{Path: c.Path, Key: key, Value: value})
	}
	return c.apply(output, changes)
}

type configUnset struct {
	editFlags
	Path string   `arg:"" help:"Entry."`
	Keys []string `arg:"" optional:"" help:"Keys to remove; none: the whole entry."`
}

// Run unsets keys.
func (c *configUnset) Run(output *streams) error {
	changes := []policy.Change{}
	for _, key := range c.Keys {
		changes = append(changes, policy.Change{Path: c.Path, Key: key, Unset: true})
	}
	if len(changes) == 0 {
		changes = append(changes, policy.Change{Path: c.Path, Unset: true})
	}
	return c.apply(output, changes)
}

type configResolve struct {
	storeFlags
	Service string `arg:"" help:"Service."`
	Method  string `arg:"" help:"Method."`
	Path    string `arg:"" help:"Path of the call."`
}

// Run resolves a call.
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

// Run shows the history.
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

// Run checks a document.
func (c *configValidate) Run(output *streams) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return result.Wrap(result.UsageInvalid, err, "reading the document")
	}
	document, err := policy.Decode(data)
	if err != nil {
		return err
	}
	fmt.Fprintf(output.out, "the document is valid: %d entries, revision %d\n", len(document.Entries), document.Revision)
	return nil
}

package commands

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/lichenfall/lichenfall/lib/failure"
)

func init() {
	register(command{
		name:    "pages",
		summary: "Write the documentation pages that are made from code",
		usage:   "Writes DIR/commands/NAME.md for each command and DIR/operators/errors.md from the tables of the program.",
		flags:   &pagesCommand{},
	})
}

// pagesCommand writes the generated documentation pages.
type pagesCommand struct {
	Args struct {
		Dir string `positional-arg-name:"DIR" required:"1"`
	} `positional-args:"yes"`
}

const (
	dirMode  = 0o755 // of created folders
	fileMode = 0o644 // of written pages
)

// Execute writes the pages below DIR.
func (c *pagesCommand) Execute([]string) error {
	pages, err := Pages()
	if err != nil {
		return err
	}
	for name, text := range pages {
		file := filepath.Join(c.Args.Dir, name)
		if err := os.MkdirAll(filepath.Dir(file), dirMode); err != nil {
			return err
		}
		if err := os.WriteFile(file, text, fileMode); err != nil {
			return err
		}
	}
	return nil
}

// Pages returns the text of each generated page by its file name relative to docs.
func Pages() (map[string][]byte, error) {
	p, err := parser()
	if err != nil {
		return nil, err
	}
	pages := map[string][]byte{filepath.Join("operators", "errors.md"): errorsPage()}
	addPages(pages, p.Command, "lichenfall")
	return pages, nil
}

// addPages adds a page for each command below parent that has no subcommands.
func addPages(pages map[string][]byte, parent *flags.Command, prefix string) {
	for _, c := range parent.Commands() {
		name := prefix + " " + c.Name
		if len(c.Commands()) > 0 {
			addPages(pages, c, name)
			continue
		}
		file := strings.ReplaceAll(strings.TrimPrefix(name, "lichenfall "), " ", "-") + ".md"
		pages[filepath.Join("commands", file)] = commandPage(name, c)
	}
}

// commandPage returns the page of a command, with the sections of a man page.
func commandPage(name string, c *flags.Command) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "# %s\n\n## Name\n\n%s - %s\n\n", name, name, c.ShortDescription)
	fmt.Fprintf(&b, "## Synopsis\n\n    %s [OPTIONS]%s\n\n## Description\n\n%s\n", name, argsOf(c), c.LongDescription)
	options := c.Options()
	if len(options) > 0 {
		b.WriteString("\n## Options\n\n")
	}
	for _, o := range options {
		fmt.Fprintf(&b, "- `%s`: %s%s\n", flagOf(o), o.Description, defaultOf(o))
	}
	b.WriteString("\n## Exit codes\n\n")
	fmt.Fprintf(&b, "%d: done. %d: the system answered with a failure. %d: wrong usage or settings. %d: no answer.\n",
		ExitOK, ExitFailed, ExitUsage, ExitNoAnswer)
	return b.Bytes()
}

func argsOf(c *flags.Command) string {
	var s string
	for _, a := range c.Args() {
		s += " [" + a.Name + "]"
	}
	return s
}

func flagOf(o *flags.Option) string {
	s := "--" + o.LongName
	if o.ShortName != 0 {
		s = "-" + string(o.ShortName) + ", " + s
	}
	if o.ValueName != "" {
		s += "=" + o.ValueName
	}
	return s
}

func defaultOf(o *flags.Option) string {
	switch {
	case o.Required:
		return " (required)"
	case len(o.Default) > 0:
		return " (default " + strings.Join(o.Default, ", ") + ")"
	}
	return ""
}

// errorsPage returns the page of error kinds, by HTTP status. It leaves out the first kind of the
// table, which stands for none.
func errorsPage() []byte {
	var b bytes.Buffer
	b.WriteString("# Error kinds\n\nMade from `failure.Table` by `make docs`. \"Ran\" is what the kind says by itself; the answer to a\n" +
		"whole submission sums up its tasks and may say more. \"Retry\" is advice to the caller: `same id` may be sent\n" +
		"again as it is, `new id` has its final answer and is tried again only as a new submission.\n\n")
	b.WriteString("| kind | status | ran | retry | meaning |\n| --- | --- | --- | --- | --- |\n")
	rows := failure.Table()[1:]
	sort.SliceStable(rows, func(i, k int) bool { return rows[i].Status < rows[k].Status })
	for _, r := range rows {
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s | %s |\n", r.Name, r.Status, r.Ran, r.Retry, r.Meaning)
	}
	return b.Bytes()
}

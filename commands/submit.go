package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/lichenfall/lichenfall/submissions/client"
	"github.com/lichenfall/lichenfall/submissions/job"
)

func init() {
	register(command{
		name:    "submit",
		summary: "Submit a job and wait for its answer",
		usage: "Submits a job and prints its answer as JSON. Exit code 0: complete; 1: failed or refused; " +
			"2: wrong usage; 3: no answer, so that nothing is known. The same --id may be submitted again: no task of it starts twice.",
		flags: &submitCommand{},
	})
}

// submitCommand submits a job.
type submitCommand struct {
	Entry         string        `long:"entry" default:"http://127.0.0.1:7070" value-name:"URL" description:"where to submit"`
	ID            string        `long:"id" description:"submission ID: a UUIDv7 or NAME@UNIX-MILLISECONDS; a new one when absent"`
	Workspace     string        `long:"team" default:"tabua" description:"team"`
	Pool          string        `long:"pool" default:"default" description:"pool of backend servers"`
	Tasks         int           `long:"tasks" default:"1" description:"number of tasks with the payload"`
	Payload       string        `long:"payload" default:"{}" value-name:"JSON" description:"payload of each task"`
	File          string        `long:"file" short:"f" value-name:"FILE" description:"a whole request as JSON, - for standard input; replaces the flags that describe the job"`
	Timeout       time.Duration `long:"timeout" default:"10s" description:"until the job's deadline"`
	NotRepeatable bool          `long:"not-repeatable" description:"must run at most once whatever happens"`
}

// answerGrace is how long after its deadline the command still waits for the job's answer.
const answerGrace = 5 * time.Second

// Execute submits the job and prints its answer.
func (c *submitCommand) Execute([]string) error {
	r, err := c.request()
	if err != nil {
		return usageError(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout+answerGrace)
	defer cancel()
	cl := client.New(c.Entry)
	defer cl.Close()
	a, err := cl.Submit(ctx, r)
	if err != nil {
		return noAnswerError(fmt.Errorf("no answer for submission %s: %w", r.ID, err))
	}
	return printAnswer(a)
}

// request builds the request from the options, or reads it from the file.
func (c *submitCommand) request() (*job.Request, error) {
	if c.File != "" {
		return readRequest(c.File)
	}
	if !json.Valid([]byte(c.Payload)) {
		return nil, fmt.Errorf("--payload: not JSON")
	}
	r := &job.Request{ID: c.ID, Workspace: c.Workspace, Pool: c.Pool, TimeoutMS: c.Timeout.Milliseconds(), NotRepeatable: c.NotRepeatable}
	if r.ID == "" {
		r.ID = client.NewID()
	}
	for range c.Tasks {
		r.Tasks = append(r.Tasks, job.TaskRequest{Payload: json.RawMessage(c.Payload)})
	}
	return r, nil
}

func readRequest(file string) (*job.Request, error) {
	text, err := readInput(file)
	if err != nil {
		return nil, err
	}
	return job.Decode(text)
}

func readInput(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

// printAnswer prints an answer, and returns an error with ExitFailed if it has one.
func printAnswer(a *job.Answer) error {
	if err := printJSON(a); err != nil {
		return err
	}
	if a.Error != nil {
		return &exitError{ExitFailed, fmt.Errorf("%s (%s)", a.Error.Kind, a.Error.Ran)}
	}
	return nil
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

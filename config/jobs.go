package config

import "time"

// Jobs is the section on what callers may submit, and how it is retried.
type Jobs struct {
	Workspaces     []string `json:"teams"` // called teams in the file, as the users first called them
	Pools          []string `json:"pools"`
	MaxTasks       int      `json:"max_tasks"`       // in a submission
	MaxPayload     int      `json:"max_payload"`     // bytes of one payload
	MaxRunning     int      `json:"max_running"`     // tasks that one entry holds
	MaxWait        Duration `json:"max_wait"`        // for a slot, beyond which new jobs are refused
	MaxTimeout     Duration `json:"max_timeout"`     // until a deadline
	DefaultTimeout Duration `json:"default_timeout"` // when the caller names none
	Grace          Duration `json:"grace"`           // after a deadline, for the agents' word
	Attempts       int      `json:"attempts"`        // at placing a task
	RetryRatio     float64  `json:"retry_ratio"`     // retries for each task
	RetryBurst     float64  `json:"retry_burst"`     // retries saved up
	RetryPause     Duration `json:"retry_pause"`     // before the second retry
	RetryPauseMax  Duration `json:"retry_pause_max"` // before any later one
	StopTimeout    Duration `json:"stop_timeout"`    // for jobs in flight at a planned stop
}

// DefaultJobs returns the defaults of Jobs.
func DefaultJobs() Jobs {
	return Jobs{
		MaxTasks:       150,
		MaxPayload:     64 << 10,
		MaxRunning:     50000,
		MaxWait:        Duration(time.Second),
		MaxTimeout:     Duration(time.Minute),
		DefaultTimeout: Duration(10 * time.Second),
		Grace:          Duration(50 * time.Millisecond),
		Attempts:       4,
		RetryRatio:     0.1,
		RetryBurst:     200,
		RetryPause:     Duration(5 * time.Millisecond),
		RetryPauseMax:  Duration(100 * time.Millisecond),
		StopTimeout:    Duration(70 * time.Second),
	}
}

func (j *Jobs) check(c *checker) {
	c.nameList("jobs.teams", j.Workspaces)
	c.nameList("jobs.pools", j.Pools)
	between(c, "jobs.max_tasks", j.MaxTasks, 1, 4096)
	between(c, "jobs.max_payload", j.MaxPayload, 16, 1<<20)
	between(c, "jobs.max_running", j.MaxRunning, 1, 1000000)
	c.span("jobs.max_wait", j.MaxWait, Duration(time.Millisecond), Duration(time.Hour))
	c.span("jobs.max_timeout", j.MaxTimeout, Duration(time.Second), Duration(time.Hour))
	c.span("jobs.default_timeout", j.DefaultTimeout, Duration(time.Millisecond), j.MaxTimeout)
	c.span("jobs.grace", j.Grace, Duration(time.Millisecond), Duration(5*time.Second))
	between(c, "jobs.attempts", j.Attempts, 1, 20)
	between(c, "jobs.retry_ratio", j.RetryRatio, 0, 1)
	between(c, "jobs.retry_burst", j.RetryBurst, 0, 100000)
	c.span("jobs.retry_pause", j.RetryPause, Duration(time.Millisecond), Duration(time.Second))
	c.span("jobs.retry_pause_max", j.RetryPauseMax, j.RetryPause, Duration(10*time.Second))
	c.span("jobs.stop_timeout", j.StopTimeout, Duration(time.Second), Duration(time.Hour))
}

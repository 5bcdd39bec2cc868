package config

import "time"

// Jobs is the entry's section on limits of submissions and on retries.
type Jobs struct {
	Workspaces     []string `json:"teams"` // the key is the users' earlier name for workspaces
	Pools          []string `json:"pools"`
	MaxTasks       int      `json:"max_tasks"`       // limit on the tasks of a submission
	MaxPayload     int      `json:"max_payload"`     // limit on the payload of a task, in bytes
	MaxRunning     int      `json:"max_running"`     // limit on the tasks that one entry holds
	MaxWait        Duration `json:"max_wait"`        // expected wait for a slot above which new jobs are refused
	MaxTimeout     Duration `json:"max_timeout"`     // longest time until a deadline
	DefaultTimeout Duration `json:"default_timeout"` // time until the deadline if the caller sets none
	Grace          Duration `json:"grace"`           // time after a deadline to receive the agents' results
	Attempts       int      `json:"attempts"`        // limit on placing a task, the first time included
	RetryRatio     float64  `json:"retry_ratio"`     // retries that each task adds to the budget
	RetryBurst     float64  `json:"retry_burst"`     // limit on the unused retries in the budget
	RetryPause     Duration `json:"retry_pause"`     // before the second retry
	RetryPauseMax  Duration `json:"retry_pause_max"` // before any later one
	StopTimeout    Duration `json:"stop_timeout"`    // how long a planned stop waits for open jobs
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
	c.durationBetween("jobs.max_wait", j.MaxWait, Duration(time.Millisecond), Duration(time.Hour))
	c.durationBetween("jobs.max_timeout", j.MaxTimeout, Duration(time.Second), Duration(time.Hour))
	c.durationBetween("jobs.default_timeout", j.DefaultTimeout, Duration(time.Millisecond), j.MaxTimeout)
	c.durationBetween("jobs.grace", j.Grace, Duration(time.Millisecond), Duration(5*time.Second))
	between(c, "jobs.attempts", j.Attempts, 1, 20)
	between(c, "jobs.retry_ratio", j.RetryRatio, 0, 1)
	between(c, "jobs.retry_burst", j.RetryBurst, 0, 100000)
	c.durationBetween("jobs.retry_pause", j.RetryPause, Duration(time.Millisecond), Duration(time.Second))
	c.durationBetween("jobs.retry_pause_max", j.RetryPauseMax, j.RetryPause, Duration(10*time.Second))
	c.durationBetween("jobs.stop_timeout", j.StopTimeout, Duration(time.Second), Duration(time.Hour))
}

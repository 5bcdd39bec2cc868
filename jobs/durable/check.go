package durable

import (
	"fmt"
	"math"
)

// Bounds of a job.
const (
	MaxSpec  = 4000  // bytes; the users' bound
	MaxSteps = 256   // of a job
	MaxTasks = 10000 // of all steps; the users' largest jobs have 150
)

// FieldError names the field of a submission that is out of bounds.
type FieldError struct {
	Field   string // such as "steps[3].count"
	Reason  string
	Allowed string
}

// Error returns field, reason and what is allowed in one line.
func (e *FieldError) Error() string {
	return e.Field + ": " + e.Reason + " (allowed: " + e.Allowed + ")"
}

// Check returns the first thing that is out of bounds, or nil.
func (s *Submission) Check() *FieldError {
	switch {
	case len(s.Spec) > MaxSpec:
		return &FieldError{"spec", "too long", fmt.Sprintf("at most %d bytes", MaxSpec)}
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return &FieldError{"steps", "wrong number of steps", fmt.Sprintf("1 to %d", MaxSteps)}
	}
	tasks := uint32(0)
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count
		if tasks > MaxTasks {
			return &FieldError{"steps", "too many tasks", fmt.Sprintf("at most %d", MaxTasks)}
		}
	}
	return nil
}

func (s *Step) check(i int) *FieldError {
	bad := func(field, allowed string) *FieldError {
		return &FieldError{fmt.Sprintf("steps[%d].%s", i, field), "out of range", allowed}
	}
	inRange := func(n int64) bool { return n >= 0 && n <= math.MaxInt32 }
	switch {
	case s.Count == 0 || s.Count > MaxTasks:
		return bad(fieldCount, fmt.Sprintf("1 to %d", MaxTasks))
	case !inRange(s.Need.CPU):
		return bad(fieldCPU, "0 or more thousandths of a core")
	case !inRange(s.Need.Memory):
		return bad(fieldMemory, "0 or more MiB")
	case !inRange(s.Need.GPU):
		return bad(fieldGPU, "0 or more")
	case !inRange(s.EstimateMS):
		return bad(fieldEstimate, "0 or more milliseconds")
	}
	for _, d := range s.DependsOn {
		if int(d) >= i {
			return bad(fieldDependsOn, "numbers of earlier steps")
		}
	}
	return nil
}

// The fields of a step, as errors name them.
const (
	fieldCount     = "count"
	fieldCPU       = "cpu"
	fieldMemory    = "memory"
	fieldGPU       = "gpu"
	fieldEstimate  = "estimate"
	fieldDependsOn = "depends_on"
)

package durable

import (
	"fmt"
	"math"
)

// Bounds of a job.
const (
	MaxSpec  = 4000  // bytes of a job's specification; required by the users
	MaxSteps = 256   // steps of a job
	MaxTasks = 10000 // tasks in all steps of a job; the users' largest jobs have 150
)

// FieldError reports a field of a submission that is out of bounds.
type FieldError struct {
	Field   string // such as "steps[3].count"
	Reason  string // what is wrong with the value
	Allowed string // the values that are allowed
}

// Error returns the field, the reason and the allowed values in one line.
func (e *FieldError) Error() string {
	return e.Field + ": " + e.Reason + " (allowed: " + e.Allowed + ")"
}

// Check returns an error for the first field that is out of bounds, or nil.
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
	outOfRange := func(field, allowed string) *FieldError {
		return &FieldError{fmt.Sprintf("steps[%d].%s", i, field), "out of range", allowed}
	}
	inRange := func(n int64) bool { return n >= 0 && n <= math.MaxInt32 }
	switch {
	case s.Count == 0 || s.Count > MaxTasks:
		return outOfRange(fieldCount, fmt.Sprintf("1 to %d", MaxTasks))
	case !inRange(s.Need.CPU):
		return outOfRange(fieldCPU, "0 or more thousandths of a core")
	case !inRange(s.Need.Memory):
		return outOfRange(fieldMemory, "0 or more MiB")
	case !inRange(s.Need.GPU):
		return outOfRange(fieldGPU, "0 or more")
	case !inRange(s.EstimateMS):
		return outOfRange(fieldEstimate, "0 or more milliseconds")
	}
	if len(s.DependsOn) > MaxSteps {
		return outOfRange(fieldDependsOn, fmt.Sprintf("at most %d", MaxSteps))
	}
	for _, d := range s.DependsOn {
		if int(d) >= i {
			return outOfRange(fieldDependsOn, "numbers of earlier steps")
		}
	}
	return nil
}

// The names of a step's fields in errors.
const (
	fieldCount     = "count"
	fieldCPU       = "cpu"
	fieldMemory    = "memory"
	fieldGPU       = "gpu"
	fieldEstimate  = "estimate"
	fieldDependsOn = "depends_on"
)

package durable

import "github.com/zeebo/errs"

// ErrMalformed means that a record of the store cannot be read.
var ErrMalformed = errs.New("malformed record")

// The kinds of record, by the last byte of the key: the job's ID and one of these.
const (
	submissionSuffix = 's'
	progressSuffix   = 'p'
)

// Record is a key and its newest value in the store. An empty value removes
// the key.
type Record struct {
	Key   string
	Value []byte
}

// SubmissionRecord returns the record that keeps a job.
func SubmissionRecord(s *Submission) (Record, error) {
	value, err := s.MarshalMsg(nil)
	return Record{string(s.ID) + string(submissionSuffix), value}, errs.Wrap(err)
}

// SubmissionTombstone returns the record that removes a job's content; its
// progress stays.
func SubmissionTombstone(id JobID) Record {
	return Record{Key: string(id) + string(submissionSuffix)}
}

// ProgressRecord returns the record of how far a job is. That of a job without crashes
// has nothing behind its progress: processes that know of no crashes read it too.
func ProgressRecord(id JobID, p *Progress) (Record, error) {
	value, err := p.MarshalMsg(nil)
	if err == nil && len(p.Crashes) > 0 {
		value, err = p.Crashes.MarshalMsg(value)
	}
	return Record{string(id) + string(progressSuffix), value}, errs.Wrap(err)
}

// ProgressTombstone returns the record that removes the last of a job.
func ProgressTombstone(id JobID) Record {
	return Record{Key: string(id) + string(progressSuffix)}
}

// Stored is what the store keeps of one job; either part may be missing.
type Stored struct {
	Submission *Submission
	Progress   *Progress
}

// Collect groups records by job. Records that cannot be read are returned by
// their keys and left out.
func Collect(records []Record) (jobs map[JobID]*Stored, malformed []string) {
	jobs = make(map[JobID]*Stored)
	for _, r := range records {
		if err := collect(jobs, r); err != nil {
			malformed = append(malformed, r.Key)
		}
	}
	return jobs, malformed
}

func collect(jobs map[JobID]*Stored, r Record) error {
	if len(r.Key) != jobIDLength+1 || !JobID(r.Key[:jobIDLength]).Valid() {
		return ErrMalformed
	}
	id := JobID(r.Key[:jobIDLength])
	j := jobs[id]
	if j == nil {
		j = &Stored{}
	}
	if err := j.read(r.Key[jobIDLength], r.Value); err != nil {
		return err
	}
	jobs[id] = j
	return nil
}

func (j *Stored) read(suffix byte, value []byte) error {
	switch suffix {
	case submissionSuffix:
		s := &Submission{}
		if rest, err := s.UnmarshalMsg(value); err != nil || len(rest) != 0 {
			return ErrMalformed
		}
		j.Submission = s
	case progressSuffix:
		p, err := readProgress(value)
		if err != nil {
			return err
		}
		j.Progress = p
	default:
		return ErrMalformed
	}
	return nil
}

// readProgress reads what ProgressRecord writes.
func readProgress(value []byte) (*Progress, error) {
	p := &Progress{}
	rest, err := p.UnmarshalMsg(value)
	if err == nil && len(rest) > 0 {
		rest, err = p.Crashes.UnmarshalMsg(rest)
	}
	if err != nil || len(rest) != 0 {
		return nil, ErrMalformed
	}
	return p, nil
}

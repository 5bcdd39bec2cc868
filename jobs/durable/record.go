package durable

import "github.com/zeebo/errs"

// ErrMalformed means that a record from the store cannot be decoded.
var ErrMalformed = errs.New("malformed record")

// The kinds of record. A key is the job's ID followed by one of these bytes.
const (
	submissionSuffix = 's'
	progressSuffix   = 'p'
)

// Record is a key and its newest value in the store. A record with an empty value is a
// tombstone: it removes the key.
type Record struct {
	Key   string
	Value []byte
}

// SubmissionRecord returns the record of a job as it was accepted.
func SubmissionRecord(s *Submission) (Record, error) {
	value, err := s.MarshalMsg(nil)
	return Record{string(s.ID) + string(submissionSuffix), value}, errs.Wrap(err)
}

// SubmissionTombstone returns the record that removes a job's submission from the store. The
// record of its progress stays.
func SubmissionTombstone(id JobID) Record {
	return Record{Key: string(id) + string(submissionSuffix)}
}

// ProgressRecord returns the record of a job's progress. Crashes are appended only if there are
// any, so that earlier versions of the program, which cannot decode crashes, can read all other
// records.
func ProgressRecord(id JobID, p *Progress) (Record, error) {
	value, err := p.MarshalMsg(nil)
	if err == nil && len(p.Crashes) > 0 {
		value, err = p.Crashes.MarshalMsg(value)
	}
	return Record{string(id) + string(progressSuffix), value}, errs.Wrap(err)
}

// ProgressTombstone returns the record that removes a job's progress, which is the last of its
// records in the store.
func ProgressTombstone(id JobID) Record {
	return Record{Key: string(id) + string(progressSuffix)}
}

// Stored holds the records of one job that the store has; either may be missing.
type Stored struct {
	Submission *Submission
	Progress   *Progress
}

// Collect decodes records and groups them by job. Records that cannot be decoded are left out,
// and their keys are returned.
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

// readProgress decodes the value of a progress record, with or without crashes.
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

package queue

// fair is a queue that serves teams in turn, within a team its jobs in turn,
// and within a job its tasks in their order, so that a single task does not
// wait behind a burst of 150, nor one team behind another.
type fair struct {
	// inOrder makes it a plain first-in first-out queue.
	inOrder bool
	teams   []*teamQueue // the one to be served next is first
	n       int
}

type teamQueue struct {
	name string
	jobs []*jobQueue // the one to be served next is first
}

type jobQueue struct {
	key   jobKey
	tasks []*Task
}

func (f *fair) len() int { return f.n }

func (f *fair) push(t *Task) {
	f.n++
	team, key := t.Team, jobKey{t.Link, t.Job}
	if f.inOrder {
		team, key = "", jobKey{}
	}
	j := f.team(team).job(key)
	j.tasks = append(j.tasks, t)
}

func (f *fair) team(name string) *teamQueue {
	for _, q := range f.teams {
		if q.name == name {
			return q
		}
	}
	q := &teamQueue{name: name}
	f.teams = append(f.teams, q)
	return q
}

func (q *teamQueue) job(key jobKey) *jobQueue {
	for _, j := range q.jobs {
		if j.key == key {
			return j
		}
	}
	j := &jobQueue{key: key}
	q.jobs = append(q.jobs, j)
	return j
}

// pop removes the task to be served next; nil when there is none.
func (f *fair) pop() *Task {
	if f.n == 0 {
		return nil
	}
	f.n--
	team := f.teams[0]
	f.teams = f.teams[1:]
	t, empty := team.pop()
	if !empty {
		f.teams = append(f.teams, team)
	}
	return t
}

func (q *teamQueue) pop() (t *Task, empty bool) {
	j := q.jobs[0]
	q.jobs = q.jobs[1:]
	t = j.tasks[0]
	j.tasks[0] = nil
	j.tasks = j.tasks[1:]
	if len(j.tasks) > 0 {
		q.jobs = append(q.jobs, j)
	}
	return t, len(q.jobs) == 0
}

// remove takes out the tasks that match and returns them in the order in which
// they stand.
func (f *fair) remove(match func(*Task) bool) []*Task {
	var out []*Task
	teams := f.teams[:0]
	for _, team := range f.teams {
		jobs := team.jobs[:0]
		for _, j := range team.jobs {
			var kept []*Task
			kept, out = split(j.tasks, match, out)
			if j.tasks = kept; len(kept) > 0 {
				jobs = append(jobs, j)
			}
		}
		if team.jobs = jobs; len(jobs) > 0 {
			teams = append(teams, team)
		}
	}
	f.teams = teams
	f.n -= len(out)
	return out
}

// split sorts tasks into those kept and those that match, which it adds to out.
func split(tasks []*Task, match func(*Task) bool, out []*Task) (kept, matched []*Task) {
	for _, t := range tasks {
		if match(t) {
			out = append(out, t)
		} else {
			kept = append(kept, t)
		}
	}
	return kept, out
}

package wire

// Metric labels of messages that are counted apart from the rest of their kind, because they carry
// no useful work.
const (
	labelPlaceAgain = "place_again"   // a Place with no first attempt of a task
	labelNoAnswer   = "results_empty" // a Results with refusals only, or without items
)

// Label returns the metric label of a message: its kind, or one of those in Labels for messages
// that carry no useful work.
func Label(m Message) string {
	switch m := m.(type) {
	case *Place:
		if onlyRetries(m) {
			return labelPlaceAgain
		}
	case *Results:
		if !hasAnswer(m) {
			return labelNoAnswer
		}
	}
	return m.WireKind().String()
}

// Labels returns all values that Label may return.
func Labels() []string {
	out := []string{labelPlaceAgain, labelNoAnswer}
	for _, k := range Kinds() {
		out = append(out, k.String())
	}
	return out
}

// Wasted reports whether messages with the label carry no useful work: neither the first attempt of
// a task nor an answer.
func Wasted(label string) bool {
	switch label {
	case KindPlace.String(), KindResults.String(), KindFetched.String():
		return false
	}
	return true
}

func onlyRetries(m *Place) bool {
	for i := range m.Tasks {
		if m.Tasks[i].Attempt <= 1 {
			return false
		}
	}
	return true
}

// hasAnswer reports whether at least one of the tasks ran, or may have run.
func hasAnswer(m *Results) bool {
	for i := range m.Items {
		if m.Items[i].Ran != notRun {
			return true
		}
	}
	return false
}

// notRun is the encoded value of failure.NotRun.
const notRun = 1

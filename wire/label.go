package wire

// Labels by which messages are counted: their kinds, with those that carry no
// first try of a task and no answer told apart.
const (
	labelPlaceAgain = "place_again"   // only tasks that were handed back before
	labelNoAnswer   = "results_empty" // refusals, or nothing but the load
)

// Label returns the label by which the message is counted.
func Label(m Message) string {
	switch m := m.(type) {
	case *Place:
		if onlyAgain(m) {
			return labelPlaceAgain
		}
	case *Results:
		if !hasAnswer(m) {
			return labelNoAnswer
		}
	}
	return m.WireKind().String()
}

// Labels returns all labels.
func Labels() []string {
	out := []string{labelPlaceAgain, labelNoAnswer}
	for _, k := range Kinds() {
		out = append(out, k.String())
	}
	return out
}

// Wasted returns whether messages of the label carry no useful work: neither a
// task that was not sent before, nor an answer.
func Wasted(label string) bool {
	switch label {
	case KindPlace.String(), KindResults.String(), KindFetched.String():
		return false
	}
	return true
}

func onlyAgain(m *Place) bool {
	for i := range m.Tasks {
		if m.Tasks[i].Attempt <= 1 {
			return false
		}
	}
	return true
}

// hasAnswer returns whether a result says more than that a task did not run.
func hasAnswer(m *Results) bool {
	for i := range m.Items {
		if m.Items[i].Ran != ranNot {
			return true
		}
	}
	return false
}

// ranNot is failure.NotRun on the wire.
const ranNot = 1

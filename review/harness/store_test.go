//go:build review

package harness

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Figures of the platform's store, as PROTOCOL.md and the settings give them.
const (
	storeParts    = 8
	appendTime    = 4 * time.Millisecond // each append of a partition takes this long, in turn
	answerTime    = 4 * time.Millisecond
	pageItems     = 500
	pageBytes     = 1 << 20
	recalledCalls = 5 // appends of a producer whose answer is given again
)

// store is a stand-in for the platform's metadata store: logs with fenced producers, keyed topics
// and a group whose members share the partitions.
type store struct {
	rec *record

	mu      sync.Mutex
	parts   map[partKey]*part
	members map[string]*groupMember
	gen     uint64
	holder  map[int]string // member that has the partition
	target  map[int]string // member that the partition is dealt to
	changed chan struct{}
	silent  bool // carries nothing out and answers nothing
}

type partKey struct {
	topic string
	part  int
}

type part struct {
	turn    sync.Mutex // appends are carried out one by one
	records [][]byte
	newest  map[string]keyed
	epoch   uint64
	seq     uint64
	begun   bool // an append under the epoch has been carried out
	answers map[uint64]position
}

type keyed struct {
	value  []byte
	offset int
}

type position struct {
	Offset int `json:"offset"`
	End    int `json:"end"`
}

type groupMember struct {
	joined time.Time
	ttl    time.Duration
}

func newStore(rec *record) *store {
	return &store{
		rec: rec, parts: make(map[partKey]*part), members: make(map[string]*groupMember),
		holder: make(map[int]string), target: make(map[int]string), changed: make(chan struct{}),
	}
}

// setSilent takes the store down, or up again. While it is down it does nothing and answers nothing.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.rec.add("the store is silent: %v", silent)
}

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.isSilent() {
		<-r.Context().Done() // the connection says nothing further
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/v1/log-append":
		s.append(w, r, body)
	case "/v1/log-read":
		s.read(w, r)
	case "/v1/log-newest":
		time.Sleep(answerTime)
		s.listNewest(w, r)
	case "/v1/log-join":
		time.Sleep(answerTime)
		s.join(w, body)
	case "/v1/log-leave":
		time.Sleep(answerTime)
		s.leave(w, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) part(key partKey) *part {
	p := s.parts[key]
	if p == nil {
		p = &part{newest: make(map[string]keyed), answers: make(map[uint64]position)}
		s.parts[key] = p
	}
	return p
}

func keyOf(r *http.Request) partKey {
	return partKey{r.URL.Query().Get("topic"), int(number(r, "part"))}
}

func number(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	p := s.part(keyOf(r))
	s.mu.Unlock()
	p.turn.Lock()
	time.Sleep(appendTime)
	s.mu.Lock()
	status, answer := s.produce(p, r, split(body))
	s.mu.Unlock()
	p.turn.Unlock()
	writeJSON(w, status, answer)
}

// produce carries out an append under the rules for producers, epochs and numbers.
func (s *store) produce(p *part, r *http.Request, records [][]byte) (int, any) {
	if r.URL.Query().Get("producer") == "" {
		return http.StatusOK, s.add(p, records)
	}
	epoch, seq := number(r, "epoch"), number(r, "seq-no")
	switch {
	case epoch < p.epoch:
		return http.StatusConflict, map[string]any{"reason": "fenced"}
	case epoch > p.epoch:
		p.epoch, p.begun, p.answers = epoch, false, make(map[uint64]position)
	}
	if a, done := p.answers[seq]; done {
		return http.StatusOK, a
	}
	if p.begun && seq != p.seq+1 {
		return http.StatusConflict, map[string]any{"reason": "seq", "wanted": p.seq + 1}
	}
	p.begun, p.seq = true, seq
	a := s.add(p, records)
	p.answers[seq] = a
	if seq >= recalledCalls {
		delete(p.answers, seq-recalledCalls)
	}
	return http.StatusOK, a
}

func (s *store) add(p *part, records [][]byte) position {
	a := position{Offset: len(p.records)}
	for _, rec := range records {
		key, value := splitKey(rec)
		if len(value) == 0 {
			delete(p.newest, key)
		} else {
			p.newest[key] = keyed{value, len(p.records)}
		}
		p.records = append(p.records, rec)
	}
	a.End = len(p.records)
	if len(records) > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return a
}

// operator writes a record as the operator does.
func (s *store) operator(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.part(partKey{"keyed.op", 0}), [][]byte{slices.Concat([]byte{byte(len(key))}, []byte(key), text)})
	s.rec.add("the operator writes %s", key)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from := int(number(r, "from"))
	until := time.Now().Add(time.Duration(number(r, "wait-ms")) * time.Millisecond)
	for {
		s.mu.Lock()
		p, changed := s.part(keyOf(r)), s.changed
		if from < len(p.records) || !time.Now().Before(until) {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range p.records[min(from, len(p.records)):] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
				out = append(out, rec...)
			}
			s.mu.Unlock()
			if s.isSilent() {
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) listNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"private-key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(keyOf(r))
	after := r.URL.Query().Get("depends-on")
	keys := make([]string, 0, len(p.newest))
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more, size := false, 0
	items := []item{}
	for _, key := range keys {
		size += len(key) + len(p.newest[key].value)
		if more = len(items) == pageItems || size > pageBytes; more {
			break
		}
		items = append(items, item{key, p.newest[key].value, p.newest[key].offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(p.records)})
}

// join joins a member to the group or renews its membership. A partition that is dealt to another
// member passes once its holder joins with this generation, leaves or is silent for its time to live.
func (s *store) join(w http.ResponseWriter, body []byte) {
	var call struct {
		Member     string   `json:"member"`
		Topics     []string `json:"topics"`
		TTL        int64    `json:"ttl_ms"`
		Generation uint64   `json:"generation"`
	}
	if json.Unmarshal(body, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	m := s.members[call.Member]
	if m == nil {
		m = &groupMember{}
		s.members[call.Member] = m
		s.deal()
	}
	m.joined, m.ttl = now, time.Duration(call.TTL)*time.Millisecond
	parts := [][]any{}
	for n := range storeParts {
		if s.holder[n] == call.Member && s.target[n] != call.Member && call.Generation >= s.gen {
			s.holder[n] = s.target[n]
		}
		if s.holder[n] == call.Member && s.target[n] == call.Member {
			parts = append(parts, []any{call.Topics[0], n, 0})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"generation": s.gen, "parts": parts})
}

func (s *store) leave(w http.ResponseWriter, body []byte) {
	var call struct {
		Member string `json:"member"`
	}
	if json.Unmarshal(body, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.members[call.Member] != nil {
		delete(s.members, call.Member)
		s.deal()
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// expire removes the members that have been silent for their time to live.
func (s *store) expire(now time.Time) {
	gone := false
	for name, m := range s.members {
		if now.Sub(m.joined) > m.ttl {
			delete(s.members, name)
			gone = true
		}
	}
	if gone {
		s.deal()
	}
}

// deal deals the partitions out evenly, in a new generation.
func (s *store) deal() {
	s.gen++
	names := make([]string, 0, len(s.members))
	for name := range s.members {
		names = append(names, name)
	}
	slices.Sort(names)
	for n := range storeParts {
		if len(names) == 0 {
			delete(s.holder, n)
			delete(s.target, n)
			continue
		}
		s.target[n] = names[n%len(names)]
		if s.members[s.holder[n]] == nil {
			s.holder[n] = s.target[n]
		}
	}
}

// rebalance deals every partition anew at once, without asking: partition n goes to the member at
// n + shift in the order of their names.
func (s *store) rebalance(shift int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	s.gen++
	names := make([]string, 0, len(s.members))
	for name := range s.members {
		names = append(names, name)
	}
	slices.Sort(names)
	for n := range storeParts {
		s.target[n] = names[(n+shift)%len(names)]
		s.holder[n] = s.target[n]
	}
	s.rec.add("the store deals every partition anew, generation %d: %v", s.gen, s.holder)
}

// split splits the body of an append into its records.
func split(body []byte) [][]byte {
	var out [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			return out
		}
		out = append(out, slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	return out
}

func splitKey(rec []byte) (key string, value []byte) {
	n := 1 + int(rec[0])
	return string(rec[1:n]), rec[n:]
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

//go:build review

package harness3

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lichenfall/lichenfall/jobs/fakestore"
)

// Properties of the platform's store, as the pages give them.
const (
	storeParts   = 8
	appendTime   = 4 * time.Millisecond
	answerTime   = 4 * time.Millisecond
	pageItems    = 500
	rememberSeqs = 5
)

// metaStore is a stand-in for the platform's store: keyed topics with fenced producers, and one group,
// which the project's own stand-in divides.
type metaStore struct {
	mu      sync.Mutex
	topics  map[string][]*topicPart
	group   *fakestore.State
	changed chan struct{} // closed and replaced at each append
}

type topicPart struct {
	appending sync.Mutex // appends are taken in turn
	records   [][]byte
	newest    map[string]keyed
	epoch     uint64
	seq       uint64
	answers   map[uint64][2]uint64 // offset and end, by number
}

type keyed struct {
	value  []byte
	offset uint64
}

func newMetaStore() *metaStore {
	return &metaStore{topics: make(map[string][]*topicPart), group: fakestore.NewState(storeParts), changed: make(chan struct{})}
}

func (s *metaStore) part(topic string, n uint64) *topicPart {
	for uint64(len(s.topics[topic])) <= n {
		s.topics[topic] = append(s.topics[topic], &topicPart{newest: make(map[string]keyed), answers: make(map[uint64][2]uint64)})
	}
	return s.topics[topic][n]
}

// operator writes a record of the operator.
func (s *metaStore) operator(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part("keyed.op", 0).add(append(append([]byte{byte(len(key))}, key...), text...))
	s.notify()
}

func (s *metaStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (p *topicPart) add(r []byte) {
	key, value := string(r[1:1+int(r[0])]), r[1+int(r[0]):]
	if len(value) == 0 {
		delete(p.newest, key)
	} else {
		p.newest[key] = keyed{value, uint64(len(p.records))}
	}
	p.records = append(p.records, r)
}

// ServeHTTP serves the calls that the pages describe and the product makes.
func (s *metaStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/log-append":
		s.append(w, r)
	case "/v1/log-read":
		time.Sleep(answerTime)
		s.read(w, r)
	case "/v1/log-newest":
		time.Sleep(answerTime)
		s.list(w, r)
	case "/v1/log-join", "/v1/log-leave":
		time.Sleep(answerTime)
		s.join(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *metaStore) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	p := s.part(q.Get("topic"), number(q.Get("part")))
	s.mu.Unlock()
	p.appending.Lock()
	defer p.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	status, answer := p.produce(q.Get("producer") != "", number(q.Get("epoch")), number(q.Get("seq-no")), split(body))
	s.notify()
	writeJSON(w, status, answer)
}

// produce appends records; with a producer, under its epoch and number.
func (p *topicPart) produce(fenced bool, epoch, seq uint64, records [][]byte) (status int, answer any) {
	switch {
	case !fenced:
	case epoch < p.epoch:
		return http.StatusConflict, map[string]any{"reason": "fenced"}
	case epoch > p.epoch:
		p.epoch, p.seq, p.answers = epoch, seq, make(map[uint64][2]uint64)
	case p.answers[seq] != [2]uint64{}:
		return http.StatusOK, map[string]any{"offset": p.answers[seq][0], "end": p.answers[seq][1]}
	case seq != p.seq+1:
		return http.StatusConflict, map[string]any{"reason": "seq", "wanted": p.seq + 1}
	default:
		p.seq = seq
	}
	offset := uint64(len(p.records))
	for _, r := range records {
		p.add(r)
	}
	end := uint64(len(p.records))
	if fenced {
		p.answers[seq] = [2]uint64{offset, end}
		delete(p.answers, seq-min(seq, rememberSeqs))
	}
	return http.StatusOK, map[string]any{"offset": offset, "end": end}
}

func (s *metaStore) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := number(q.Get("from"))
	until := time.After(time.Duration(number(q.Get("wait-ms"))) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		records, changed := s.part(q.Get("topic"), number(q.Get("part"))).records, s.changed
		s.mu.Unlock()
		if end := uint64(len(records)); from < end || !waiting {
			out := binary.BigEndian.AppendUint64(nil, end)
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, record := range records[min(from, end):] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
				out = append(out, record...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *metaStore) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	type item struct {
		Key    string `json:"private-key"`
		Value  []byte `json:"value"`
		Offset uint64 `json:"offset"`
	}
	s.mu.Lock()
	p := s.part(q.Get("topic"), number(q.Get("part")))
	items := make([]item, 0, len(p.newest))
	for key, k := range p.newest {
		if key > q.Get("depends-on") {
			items = append(items, item{key, k.value, k.offset})
		}
	}
	end := len(p.records)
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageItems)], "more": more, "end": end})
}

func (s *metaStore) join(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Member     string   `json:"member"`
		Topics     []string `json:"topics"`
		TTL        int64    `json:"ttl_ms"`
		Generation uint64   `json:"generation"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/v1/log-leave" {
		s.group.Leave(time.Now(), call.Member)
		writeJSON(w, http.StatusOK, struct{}{})
		return
	}
	a := s.group.Join(time.Now(), call.Member, call.Generation, time.Duration(call.TTL)*time.Millisecond)
	rows := make([][]any, 0, len(a.Partitions))
	for _, p := range a.Partitions {
		rows = append(rows, []any{call.Topics[0], p, 0})
	}
	writeJSON(w, http.StatusOK, map[string]any{"generation": a.Generation, "parts": rows})
}

func number(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
}

// split splits a body into its records, without their lengths.
func split(body []byte) [][]byte {
	var out [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		out = append(out, body[4:4+n])
		body = body[4+n:]
	}
	return out
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

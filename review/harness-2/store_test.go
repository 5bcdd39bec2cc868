//go:build review

package harness2

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/lichenfall/lichenfall/jobs/fakestore"
)

// The bounds of the users' store.
const (
	storeParts     = 8
	appendTime     = 4 * time.Millisecond // each append of a partition, in turn
	pageItems      = 500                  // records in one page of the newest
	rememberedSeqs = 5                    // appends whose first answer is given again
	maxRecordBytes = 262144
	maxCallBytes   = 2097152
	recordLength   = 4 // bytes before each record
	readHeader     = 8 // bytes of each of the two offsets before the records
)

// metaStore is a stand-in for the platform's metadata store: its log, its keyed topics and its group.
// All records of keyed topics are kept.
type metaStore struct {
	mu      sync.Mutex
	parts   map[string]*logPart
	groups  *fakestore.State
	changed chan struct{} // closed and replaced with each append
}

// logPart is one partition of a topic.
type logPart struct {
	records [][]byte
	newest  map[string][]byte
	writers map[string]*writer
	busy    time.Time // until when earlier appends take
}

// writer is the state of one producer in a partition.
type writer struct {
	epoch, seq uint64
	answers    map[uint64]appended
}

// appended is the answer to an append.
type appended struct {
	Offset uint64 `json:"offset"`
	End    uint64 `json:"end"`
}

func newMetaStore() *metaStore {
	return &metaStore{parts: make(map[string]*logPart), groups: fakestore.NewState(storeParts), changed: make(chan struct{})}
}

// ServeHTTP serves the calls that PROTOCOL.md describes and the product makes.
func (s *metaStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/v1/log-append":
		s.serveAppend(w, r, body)
	case "/v1/log-read":
		s.serveRead(w, r)
	case "/v1/log-newest":
		s.serveNewest(w, r)
	case "/v1/log-join", "/v1/log-leave":
		s.serveGroup(w, r, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *metaStore) part(r *http.Request) *logPart {
	return s.partOf(r.URL.Query().Get("topic") + "/" + r.URL.Query().Get("part"))
}

func (s *metaStore) partOf(name string) *logPart {
	p := s.parts[name]
	if p == nil {
		p = &logPart{newest: make(map[string][]byte), writers: make(map[string]*writer)}
		s.parts[name] = p
	}
	return p
}

func (s *metaStore) serveAppend(w http.ResponseWriter, r *http.Request, body []byte) {
	var records [][]byte
	for rest := body; len(rest) >= recordLength; {
		n := int(binary.BigEndian.Uint32(rest))
		if n > maxRecordBytes || recordLength+n > len(rest) {
			writeJSON(w, http.StatusBadRequest, struct{}{})
			return
		}
		records = append(records, rest[recordLength:recordLength+n])
		rest = rest[recordLength+n:]
	}
	if len(body) > maxCallBytes {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	p := s.part(r)
	now := time.Now()
	p.busy = later(p.busy, now).Add(appendTime)
	wait := p.busy.Sub(now)
	s.mu.Unlock()
	time.Sleep(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	status, answer := p.produce(q.Get("producer"), number(q.Get("epoch")), number(q.Get("seq-no")), records)
	if status == http.StatusOK && len(records) > 0 {
		s.notify()
	}
	writeJSON(w, status, answer)
}

// produce appends the records once for each number of a producer's epoch. No records set the epoch.
func (p *logPart) produce(producer string, epoch, seq uint64, records [][]byte) (int, any) {
	if producer == "" {
		return http.StatusOK, p.add(records)
	}
	state := p.writers[producer]
	if state == nil {
		state = &writer{answers: make(map[uint64]appended)}
		p.writers[producer] = state
	}
	switch {
	case epoch < state.epoch:
		return http.StatusConflict, map[string]any{"reason": "fenced"}
	case epoch > state.epoch:
		*state = writer{epoch: epoch, seq: seq, answers: make(map[uint64]appended)}
	case seq == state.seq+1:
		state.seq = seq
	default:
		if a, done := state.answers[seq]; done {
			return http.StatusOK, a
		}
		return http.StatusConflict, map[string]any{"reason": "seq", "seq-no": state.seq + 1}
	}
	a := p.add(records)
	state.answers[seq] = a
	if seq >= rememberedSeqs {
		delete(state.answers, seq-rememberedSeqs)
	}
	return http.StatusOK, a
}

func (p *logPart) add(records [][]byte) appended {
	a := appended{Offset: uint64(len(p.records))}
	for _, r := range records {
		key, value := string(r[1:1+int(r[0])]), r[1+int(r[0]):]
		if len(value) == 0 {
			delete(p.newest, key)
		} else {
			p.newest[key] = value
		}
		p.records = append(p.records, r)
	}
	a.End = uint64(len(p.records))
	return a
}

// operate writes a record as the operator does.
func (s *metaStore) operate(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.partOf("keyed.op/0").add([][]byte{append(record, text...)})
	s.notify()
}

func (s *metaStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *metaStore) serveRead(w http.ResponseWriter, r *http.Request) {
	from := number(r.URL.Query().Get("from"))
	until := time.After(time.Duration(number(r.URL.Query().Get("wait-ms"))) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		p, changed := s.part(r), s.changed
		if end := uint64(len(p.records)); from < end || !waiting {
			body := binary.BigEndian.AppendUint64(nil, end)
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range p.records[min(from, end):] {
				body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
				body = append(body, record...)
			}
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *metaStore) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key   string `json:"private-key"`
		Value []byte `json:"value"`
	}
	after := r.URL.Query().Get("depends-on")
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(r)
	var items []item
	for key, value := range p.newest {
		if key > after {
			items = append(items, item{key, value})
		}
	}
	slices.SortFunc(items, func(a, b item) int { return slices.Compare([]byte(a.Key), []byte(b.Key)) })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(p.records)})
}

func (s *metaStore) serveGroup(w http.ResponseWriter, r *http.Request, body []byte) {
	var call struct {
		Member     string   `json:"member"`
		Topics     []string `json:"topics"`
		TTL        int64    `json:"ttl_ms"`
		Generation uint64   `json:"generation"`
	}
	if json.Unmarshal(body, &call) != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/v1/log-leave" {
		s.groups.Leave(time.Now(), call.Member)
		writeJSON(w, http.StatusOK, struct{}{})
		return
	}
	a := s.groups.Join(time.Now(), call.Member, call.Generation, time.Duration(call.TTL)*time.Millisecond)
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

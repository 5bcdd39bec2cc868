// Package claim decides who may start a submission. Every submission ID has
// one holder among the agents, which grants it to the first entry that asks
// and remembers to whom. IDs carry the time at which they were made, so that a
// holder with a fresh memory can tell an ID that is new from one that its
// predecessor may have granted. The package does no I/O.
package claim

import (
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// AllowedID says in words which IDs carry a time.
const AllowedID = "a UUIDv7, or a name, '@' and the Unix time in milliseconds; 64 characters at most"

const (
	timeMark     = "@"
	uuidV7       = 7 // version of UUIDs that carry a time
	hashSepBytes = "\x00"
	hashBytes    = 8 // of one of the two hashes that the holder is chosen by
)

// IDTime returns the time that an ID carries, to the millisecond.
func IDTime(id string) (t time.Time, ok bool) {
	if name, ms, found := strings.Cut(id, timeMark); found {
		n, err := strconv.ParseUint(ms, 10, 62)
		return time.UnixMilli(int64(n)), err == nil && name != ""
	}
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != uuidV7 {
		return time.Time{}, false
	}
	return time.UnixMilli(uuidMillis(u)), true
}

// uuidMillis reads the first 48 bits of a UUIDv7 (RFC 9562, section 5.7).
func uuidMillis(u uuid.UUID) int64 {
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// HolderOf returns the member responsible for the ID: the one with the highest
// hash of member and ID (rendezvous hashing). It returns "" for no members.
func HolderOf(id string, members []string) string {
	var best string
	var top uint64
	var both [2 * hashBytes]byte
	binary.BigEndian.PutUint64(both[hashBytes:], xxhash.Sum64String(id))
	for _, m := range members {
		binary.BigEndian.PutUint64(both[:], xxhash.Sum64String(m))
		h := xxhash.Sum64(both[:])
		if best == "" || h > top || h == top && m < best {
			best, top = m, h
		}
	}
	return best
}

// Assignment returns the digest of a list of members. Processes that go by
// different lists must not claim at each other.
func Assignment(members []string) uint64 {
	return xxhash.Sum64String(strings.Join(members, hashSepBytes))
}

// Package claim decides which entry may start a submission. Every submission ID
// has one holder among the agents, which grants the ID to the first entry that
// claims it and records that entry. An ID carries the time of its creation, by
// which a restarted holder, whose table is empty, tells new IDs from those that
// the process before it may have granted. The package owns the holder's table
// and relies on a bound on the difference between the clocks of the boxes. It
// does no I/O.
package claim

import (
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// AllowedID describes the valid forms of an ID, for error messages.
const AllowedID = "a UUIDv7, or a name, '@' and the Unix time in milliseconds; 64 characters at most"

const (
	timeMark     = "@"
	uuidV7       = 7 // the version of UUIDs that carry a time
	hashSepBytes = "\x00"
	hashBytes    = 8 // size of the hash of a member or an ID
)

// IDTime returns the time that an ID carries, with a precision of 1 ms; ok is
// false if it carries none.
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

// uuidMillis returns the Unix time in milliseconds that the first 48 bits of a
// UUIDv7 hold (RFC 9562, section 5.7).
func uuidMillis(u uuid.UUID) int64 {
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// HolderOf returns the member that holds the ID: the one with the highest hash
// of member and ID (rendezvous hashing). It returns "" if there are no members.
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

// Assignment returns the digest of a list of members. A holder refuses claims
// from entries configured with another list, since they may choose different
// holders for the same ID.
func Assignment(members []string) uint64 {
	return xxhash.Sum64String(strings.Join(members, hashSepBytes))
}

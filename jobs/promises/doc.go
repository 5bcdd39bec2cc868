// Package promises holds randomised tests of the promises about durable and best-effort jobs. A
// test simulates the cores of coordinators and workers, a stand-in store and stand-in backend
// servers together in virtual time, under faults drawn from a seed, and checks the promises at each
// start, at each end and at each answer to a client. It has tests only.
package promises

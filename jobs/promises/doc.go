// Package promises holds the randomised runs that prove the promises about
// kept and best-effort jobs: the cores of coordinators and workers, a stand-in
// store and stand-in backend servers together in virtual time, under faults
// drawn from a seed. It has tests only.
package promises

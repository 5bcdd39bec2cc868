package scheduler

// LoadPolicy holds the settings for what a coordinator does when the free capacity does not suffice
// for all tasks, or when backend servers differ in speed. Each part can be switched off.
type LoadPolicy struct {
	PlaceBySpeed    bool    // placement, run limits and outlier detection take the speed of each server into account
	AskForRoom      bool    // coordinators request capacity, and workers grant it in the order of all tasks that wait
	AdmitByAll      bool    // admission counts the work that waits at all coordinators which request capacity
	OrderByPriority bool    // each priority precedes the later ones; otherwise only the first precedes all others
	RemoteFactor    float64 // how many times as long a task takes outside the rack of its data; at least 1
}

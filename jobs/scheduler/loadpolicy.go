package scheduler

// LoadPolicy holds the settings of what a coordinator does when not all that is asked for fits, or
// servers are not alike. Each part can be switched off.
type LoadPolicy struct {
	PlaceBySpeed    bool    // tasks are placed, limited and judged by the usual speed of servers
	AskForRoom      bool    // workers share out room by the order of all that waits
	AdmitByAll      bool    // jobs are judged by what waits at all coordinators that ask for room
	OrderByPriority bool    // each priority comes before the later ones, and not the first alone
	RemoteFactor    float64 // how many times as long a task takes away from its data; 1 at least
}

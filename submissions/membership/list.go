package membership

// BoxState is the state of a box in the platform's box list.
type BoxState string

// The states of a box.
const (
	Live    BoxState = "live"
	Leaving BoxState = "leaving"
)

// Box is one row of the box list.
type Box struct {
	Name       string   `json:"name"`
	Address    string   `json:"address"` // address of the agent on the box for its peers
	DataCentre string   `json:"data_centre"`
	Rack       string   `json:"rack"`
	State      BoxState `json:"state"`
}

// BoxList is one reading of the box list, which lags behind the actual state.
type BoxList struct {
	Version uint64 `json:"version"` // increases with each change
	Boxes   []Box  `json:"boxes"`
}

package membership

// BoxState is what the platform says of a box.
type BoxState string

// The states of a box.
const (
	Live    BoxState = "live"
	Leaving BoxState = "leaving"
)

// Box is one line of the box list.
type Box struct {
	Name       string   `json:"name"`
	Address    string   `json:"address"` // of the agent on it, for peers
	DataCentre string   `json:"data_centre"`
	Rack       string   `json:"rack"`
	State      BoxState `json:"state"`
}

// BoxList is one reading of the list. It lags behind reality.
type BoxList struct {
	Version uint64 `json:"version"` // rises with each change
	Boxes   []Box  `json:"boxes"`
}

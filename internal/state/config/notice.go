package config

import "time"

// Notice tells the clients of an organisation of a slowdown, in time for a call.
type Notice struct {
	ID           string
	Organisation string
	Profile      string
	Domain       string
	From         time.Time
	Until        time.Time
	// Slower is the expected completion time over the usual one.
	Slower float64
	Why    string
	CallBy time.Time
	Issued time.Time
	// Acked is when an operator confirmed the call; zero means not yet.
	Acked   time.Time
	AckedBy string
}

package launcher

// exclusions names what receives no new work beyond what the configuration says: failure
// domains taken out by overrides, and targets seen leaving. The control loop publishes it as
// an immutable value.
type exclusions struct {
	domains []string
	targets []string
}

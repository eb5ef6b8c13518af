package commander

// domainOutCommand takes a failure domain out of service.
type domainOutCommand struct {
	domainOptions

	commander *Commander
}

// Execute implements flags.Commander.
func (c *domainOutCommand) Execute([]string) error {
	return c.commander.setDomain(c.domainOptions, true)
}

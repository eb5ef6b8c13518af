package commander

// rulesDiffCommand validates rules on a host and prints their differences from the rules in
// force.
type rulesDiffCommand struct {
	proposalOptions
	Args fileArgument `positional-args:"yes" required:"yes"`

	commander *Commander
}

// Execute implements flags.Commander.
func (c *rulesDiffCommand) Execute([]string) error {
	return c.commander.proposeRules(c.proposalOptions, c.Args.File, "", true)
}

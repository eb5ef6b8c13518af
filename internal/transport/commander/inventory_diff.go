package commander

// inventoryDiffCommand checks an inventory on a host and prints the differences from those in
// force.
type inventoryDiffCommand struct {
	proposalOptions
	Args fileArgument `positional-args:"yes" required:"yes"`

	commander *Commander
}

// Execute runs the command.
func (c *inventoryDiffCommand) Execute([]string) error {
	return c.commander.proposeInventory(c.proposalOptions, c.Args.File, "", true)
}

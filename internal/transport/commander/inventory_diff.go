package commander

// inventoryDiffCommand validates an inventory on a host and prints its differences from the
// inventory in force.
type inventoryDiffCommand struct {
	proposalOptions
	Args fileArgument `positional-args:"yes" required:"yes"`

	commander *Commander
}

// Execute implements flags.Commander.
func (c *inventoryDiffCommand) Execute([]string) error {
	return c.commander.proposeInventory(c.proposalOptions, c.Args.File, "", true)
}

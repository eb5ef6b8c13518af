package commander

import "wigeonspindle.example/wigeonspindle/internal/protocol/encoder"

// inventoryGetCommand prints the inventory in force in the format that inventory put accepts.
type inventoryGetCommand struct {
	clientOptions

	commander *Commander
}

// Execute implements flags.Commander.
func (c *inventoryGetCommand) Execute([]string) error {
	ctx, cancel := c.withTimeout()
	defer cancel()
	var document encoder.Inventory
	if err := c.get(ctx, "/inventory", &document); err != nil {
		return err
	}
	return printJSON(c.commander.Out, document)
}

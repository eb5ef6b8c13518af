package commander

import "wigeonspindle.example/wigeonspindle/internal/protocol/encoder"

// inventoryGetCommand prints the inventory in force in the form that put accepts.
type inventoryGetCommand struct {
	connection

	commander *Commander
}

// Execute runs the command.
func (c *inventoryGetCommand) Execute([]string) error {
	ctx, cancel := c.with()
	defer cancel()
	var document encoder.Inventory
	if err := c.get(ctx, "/inventory", &document); err != nil {
		return err
	}
	return printJSON(c.commander.Out, document)
}

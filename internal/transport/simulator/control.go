package simulator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"wigeonspindle.example/wigeonspindle/internal/protocol/encoder"
)

// TargetsResponse is the control port's response to a change of targets. Targets is the number
// of targets that the change selected.
type TargetsResponse struct {
	Targets int `json:"targets"`
}

// controlHandler returns the handler of the control port: POST /targets, /store and /hosts
// change faults, GET /counts and /tally?body= return counters.
func (e *Environment) controlHandler() http.Handler {
	router := echo.New()
	router.POST("/targets", func(c echo.Context) error {
		var change TargetChange
		if err := decode(c, &change); err != nil {
			return err
		}
		selected := e.Apply(change)
		if selected == 0 {
			return echo.NewHTTPError(http.StatusNotFound, "no target is selected")
		}
		return c.JSON(http.StatusOK, TargetsResponse{Targets: selected})
	})
	router.POST("/store", func(c echo.Context) error {
		var change StoreChange
		if err := decode(c, &change); err != nil {
			return err
		}
		e.Store.Apply(change)
		return c.NoContent(http.StatusNoContent)
	})
	router.POST("/hosts", func(c echo.Context) error {
		var change HostListChange
		if err := decode(c, &change); err != nil {
			return err
		}
		e.Hosts.Apply(change)
		return c.NoContent(http.StatusNoContent)
	})
	router.GET("/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Counts()) })
	router.GET("/tally", func(c echo.Context) error {
		return c.JSON(http.StatusOK, e.Completions.Shards(c.QueryParam("body")))
	})
	return router
}

func decode(c echo.Context, value any) error {
	if err := encoder.Decode(c.Request().Body, value); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return nil
}

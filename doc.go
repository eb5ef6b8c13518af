// Package wigeonspindle holds the plain data types and the interfaces that the
// layers of the query tier share. It contains no logic beyond accessors: decisions
// live in internal/coordination, message formats in internal/protocol, sockets in
// internal/transport and containers of state in internal/state.
package wigeonspindle
